#pragma once

#include "daemon/src/DaemonContext.h"

#include "daemon/src/Daemon.h"
