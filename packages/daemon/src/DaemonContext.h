#pragma once

#include "base/Base.h"
#include "config/Config.h"
#include "http/Http.h"
#include "telemetry/Telemetry.h"

namespace auburnmux::daemon {

/** Features that benchmarks switch off to measure a baseline. */
struct FeatureFlags
{
  /** When false: round robin, no adaptive limits, as many slots as connections
   * rather than queueing on this host, no load shedding and no cancelling of
   * stragglers. */
  bool mBalancing = true;
  bool mHedging = true;
};

/** References that all parts of a daemon use. Outlives those parts. */
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
