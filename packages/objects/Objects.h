#pragma once

#include "objects/src/Backoff.h"
#include "objects/src/CallBudget.h"
#include "objects/src/ReconnectDelay.h"

#include "objects/src/CallResult.h"
#include "objects/src/HostList.h"

#include "objects/src/PlatformClient.h"
