#pragma once

#include "retries/src/RetryBudget.h"

#include "retries/src/LatencyWindow.h"

#include "retries/src/HedgePolicy.h"

#include "retries/src/AttemptPolicy.h"

#include "retries/src/CrashQuarantine.h"

#include "retries/src/CrashDetector.h"

#include "retries/src/CrashGuard.h"

#include "retries/src/HopDeadline.h"

#include "retries/src/IdleReuseLimit.h"

#include "retries/src/StallPolicy.h"

#include "retries/src/StragglerPolicy.h"
