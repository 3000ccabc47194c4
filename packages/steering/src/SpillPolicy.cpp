#include "steering/src/SpillPolicy.h"

#include <algorithm>
#include <tuple>

namespace auburnmux::steering {

SpillPolicy::SpillPolicy(base::HostId aSelf, base::RegionId aRegion)
  : mSelf(std::move(aSelf))
  , mRegion(std::move(aRegion))
{
}

void SpillPolicy::SetTargets(std::vector<SpillTarget> aTargets)
{
  // Each sender orders the hosts of a data centre differently, so that each
  // host gets requests from few senders.
  const std::uint64_t self = base::Hash64(mSelf.Text());
  const auto key = [&](const SpillTarget& aTarget) {
    return std::make_tuple(
      aTarget.mRegion != mRegion, aTarget.mOneWayDelay, aTarget.mDataCentre,
      base::CombineHash(self, base::Hash64(aTarget.mHost.Text())));
  };
  std::sort(aTargets.begin(), aTargets.end(),
            [&](const SpillTarget& aLeft, const SpillTarget& aRight) {
              return key(aLeft) < key(aRight);
            });
  mCentres.clear();
  for (SpillTarget& it : aTargets) {
    if (mCentres.empty() ||
        mCentres.back().front().mDataCentre != it.mDataCentre) {
      mCentres.emplace_back();
    }
    if (mCentres.back().size() < kMaxHostsPerCentre) {
      mCentres.back().push_back(std::move(it));
    }
  }
}

std::vector<SlotRequest> SpillPolicy::Plan(base::TimePoint aNow,
                                           const SpillDemand& aDemand,
                                           GrantHolder& aHolder) const
{
  std::vector<SlotRequest> requests;
  base::SlotCount wanted = aDemand.mWaiting + aHolder.TotalInUse();
  for (const Centre& centre : mCentres) {
    if (wanted.Count() == 0) {
      break;
    }
    wanted -= PlanCentre(aNow, centre, wanted, aHolder, requests);
  }
  return requests;
}

base::SlotCount SpillPolicy::PlanCentre(base::TimePoint aNow,
                                        const Centre& aCentre,
                                        base::SlotCount aWanted,
                                        GrantHolder& aHolder,
                                        std::vector<SlotRequest>& aRequests)
{
  base::SlotCount open = aWanted;
  auto hosts = static_cast<std::uint32_t>(aCentre.size());
  for (const SpillTarget& it : aCentre) {
    const base::SlotCount part((open.Count() + hosts - 1) / hosts);
    --hosts;
    if (part.Count() > 0) {
      open -= PlanHost(aNow, it.mHost, part, aHolder, aRequests);
    }
  }
  return aWanted - open;
}

base::SlotCount SpillPolicy::PlanHost(base::TimePoint aNow,
                                      const base::HostId& aHost,
                                      base::SlotCount aWanted,
                                      GrantHolder& aHolder,
                                      std::vector<SlotRequest>& aRequests)
{
  const base::SlotCount held = aHolder.GrantedSlots(aNow, aHost);
  const bool isExhausted = aHolder.IsExhausted(aNow, aHost);
  if (held < aWanted ||
      aHolder.RemainingTime(aNow, aHost) < kRenewalThreshold) {
    if (auto request = aHolder.RequestSlots(aNow, aHost, aWanted)) {
      aRequests.push_back(std::move(*request));
    }
  }
  return isExhausted ? std::min(held, aWanted) : aWanted;
}

std::optional<GrantHolder::Use> SpillPolicy::Place(base::TimePoint aNow,
                                                   GrantHolder& aHolder) const
{
  for (const Centre& centre : mCentres) {
    for (const SpillTarget& it : centre) {
      if (auto use = aHolder.TryUse(aNow, it.mHost)) {
        return use;
      }
    }
  }
  return std::nullopt;
}

} // namespace auburnmux::steering
