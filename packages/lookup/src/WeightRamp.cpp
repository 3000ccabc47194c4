#include "lookup/src/WeightRamp.h"

#include <algorithm>

namespace auburnmux::lookup {

WeightRamp::WeightRamp(base::Duration aRampTime, base::TimePoint aRampFreeUntil)
  : mRampTime(aRampTime)
  , mRampFreeUntil(aRampFreeUntil)
{
}

void WeightRamp::SetHosts(base::TimePoint aNow,
                          const std::vector<RankedHost>& aHosts)
{
  std::unordered_map<base::HostId, Start> starts;
  for (const RankedHost& host : aHosts) {
    if (host.mEligibility == HostEligibility::Excluded) {
      continue;
    }
    const auto it = mStarts.find(host.mId);
    const bool isKnown =
      it != mStarts.end() && it->second.mIncarnation == host.mIncarnation;
    starts[host.mId] =
      isKnown ? it->second
              : Start{ host.mIncarnation, aNow, aNow >= mRampFreeUntil };
  }
  mStarts = std::move(starts);
}

double WeightRamp::Factor(base::TimePoint aNow, const RankedHost& aHost) const
{
  const auto it = mStarts.find(aHost.mId);
  if (it == mStarts.end() || !it->second.mIsRamped || mRampTime.count() <= 0) {
    return 1.0;
  }
  const auto passed = aNow - it->second.mFirstSeen;
  const auto step = std::clamp<base::Duration::rep>(
    kSteps * passed.count() / mRampTime.count(), 0, kSteps);
  return kStart + ((1.0 - kStart) * static_cast<double>(step) / kSteps);
}

} // namespace auburnmux::lookup
