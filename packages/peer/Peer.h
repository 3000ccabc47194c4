#pragma once

#include "peer/src/FleetKey.h"

#include "peer/src/Transport.h"
