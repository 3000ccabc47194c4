#pragma once

#include "base/Base.h"

#include <optional>

namespace auburnmux::placing {

/**
 * Running mean of the requests per slot over all load reports of a service's
 * upstreams. It is used for upstreams without a recent report, which are the
 * majority when many hosts share many upstreams.
 */
class LoadMeter
{
public:
  /** Adds the load of one report. */
  void OnReport(base::TimePoint aNow, double aRequestsPerSlot);
  /** \returns the mean requests per slot; none before the first report. */
  std::optional<double> Mean(base::TimePoint aNow) const;

private:
  std::optional<double> mMeanLoad;
  base::TimePoint mUpdatedAt;
};

} // namespace auburnmux::placing
