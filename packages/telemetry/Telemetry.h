#pragma once

#include "telemetry/src/Quantiles.h"

#include "telemetry/src/Metrics.h"

#include "telemetry/src/TraceContext.h"

#include "telemetry/src/SpanLog.h"

#include "telemetry/src/BoundedLog.h"
