#pragma once

#include "routing/src/Configuration.h"

#include "routing/src/RouteTable.h"

#include "routing/src/Confirmation.h"

#include "routing/src/SplitSelector.h"
