#pragma once

#include "placing/src/PlacingSettings.h"

#include "placing/src/LoadReport.h"

#include "placing/src/TokenBucket.h"

#include "placing/src/FailureMeter.h"

#include "placing/src/UpstreamTracker.h"

#include "placing/src/WorkEstimates.h"

#include "placing/src/WarmObjects.h"

#include "placing/src/ShiftLimiter.h"

#include "placing/src/LocalHomeShare.h"

#include "placing/src/LoadMeter.h"

#include "placing/src/UnreportedLoad.h"

#include "placing/src/LimitShare.h"

#include "placing/src/Placement.h"
