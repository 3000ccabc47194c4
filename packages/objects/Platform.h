#pragma once

#include "platform/src/Backoff.h"
#include "platform/src/CallBudget.h"
#include "platform/src/ReconnectWindow.h"

#include "platform/src/CallResult.h"
#include "platform/src/HostList.h"

#include "platform/src/PlatformClient.h"
