#pragma once

#include "lookup/src/RankedHost.h"

#include <unordered_map>

namespace auburnmux::lookup {

/**
 * Raises the weight of hosts that return or are replaced, so that their cold
 * caches aren't hit by their full share at once. A host that was only
 * suspected keeps its weight.
 */
class WeightRamp
{
public:
  /** Share of its weight that a host starts with. */
  static constexpr double kStart = 0.1;
  /** Steps of the ramp; each ranks the host's data centre anew. */
  static constexpr int kSteps = 9;

  WeightRamp(base::Duration aRamp, base::TimePoint aRampFrom);

  void SetHosts(base::TimePoint aNow, const std::vector<RankedHost>& aHosts);
  /** \returns the factor on the weight of \a aHost, in [kStart, 1]. */
  double Factor(base::TimePoint aNow, const RankedHost& aHost) const;

private:
  struct Start
  {
    base::Incarnation mIncarnation;
    base::TimePoint mTime;
    bool mIsRamped = false;
  };

  base::Duration mRamp;
  base::TimePoint mRampFrom;
  std::unordered_map<base::HostId, Start> mStarts;
};

} // namespace auburnmux::lookup
