#pragma once

#include "daemon/src/Shared.h"

#include "daemon/src/Daemon.h"
