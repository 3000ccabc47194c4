#pragma once

#include "base/Base.h"
#include "config/Config.h"
#include "http/Http.h"
#include "telemetry/Telemetry.h"

namespace auburnmux::daemon {

/** FeatureFlags that a measurement switches off to get the plain baseline. */
struct FeatureFlags
{
  /** Off: round robin, no adaptive limits, no queue at the host. */
  bool mBalancing = true;
  bool mHedging = true;
};

/** What all parts of one daemon use. It outlives them. */
struct DaemonContext
{
  http::Loop& mLoop;
  http::Client& mClient;
  base::Random& mRandom;
  telemetry::Metrics& mMetrics;
  telemetry::SpanLog& mSpans;
  const config::HostSettings& mSettings;
  base::Incarnation mIncarnation;
  FeatureFlags mFeatures;
};

} // namespace auburnmux::daemon
