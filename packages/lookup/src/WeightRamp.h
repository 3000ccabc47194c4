#pragma once

#include "lookup/src/RankedHost.h"

#include <unordered_map>

namespace auburnmux::lookup {

/**
 * Slow start: raises the weight of hosts that return or restart in steps, so
 * that hosts with cold caches don't get their full load at once. A host that
 * was only suspected keeps its weight.
 */
class WeightRamp
{
public:
  /** Initial factor on the weight of a host. */
  static constexpr double kStart = 0.1;
  /** Number of steps. Each step ranks the host's data centre again. */
  static constexpr int kSteps = 9;

  /** Hosts first seen before \a aRampFreeUntil start at full weight. */
  WeightRamp(base::Duration aRampTime, base::TimePoint aRampFreeUntil);

  /** Replaces the list of hosts; starts ramps for new or restarted ones. */
  void SetHosts(base::TimePoint aNow, const std::vector<RankedHost>& aHosts);
  /** \returns the factor on the weight of \a aHost, in [kStart, 1]. */
  double Factor(base::TimePoint aNow, const RankedHost& aHost) const;

private:
  struct Start
  {
    base::Incarnation mIncarnation;
    base::TimePoint mFirstSeen;
    bool mIsRamped = false;
  };

  base::Duration mRampTime;
  base::TimePoint mRampFreeUntil;
  std::unordered_map<base::HostId, Start> mStarts;
};

} // namespace auburnmux::lookup
