#pragma once

#include "base/Base.h"

#include <optional>

namespace auburnmux::placing {

/**
 * How many requests the upstreams of a service usually have for each slot,
 * from all their reports. It stands in for what an upstream has that did not
 * report lately, which is most of them where many hosts share many upstreams.
 */
class LoadMeter
{
public:
  /** Takes a report. \param aLoad requests for each slot */
  void OnReport(base::TimePoint aNow, double aLoad);
  /** \returns requests for each slot; none before the first report. */
  std::optional<double> Usual(base::TimePoint aNow) const;

private:
  std::optional<double> mLoad;
  base::TimePoint mAt;
};

} // namespace auburnmux::placing
