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
  // Senders order the hosts of a data centre differently, so that each host
  // is asked by few of them.
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
    if (mCentres.back().size() < kMaxPerCentre) {
      mCentres.back().push_back(std::move(it));
    }
  }
}

std::vector<GrantAsk> SpillPolicy::Plan(base::TimePoint aNow,
                                        const SpillDemand& aDemand,
                                        GrantBook& aBook) const
{
  std::vector<GrantAsk> asks;
  base::SlotCount wanted = aDemand.mWaiting + aBook.TotalInUse();
  for (const Centre& centre : mCentres) {
    if (wanted.Count() == 0) {
      break;
    }
    wanted -= PlanCentre(aNow, centre, wanted, aBook, asks);
  }
  return asks;
}

base::SlotCount SpillPolicy::PlanCentre(base::TimePoint aNow,
                                        const Centre& aCentre,
                                        base::SlotCount aWanted,
                                        GrantBook& aBook,
                                        std::vector<GrantAsk>& aAsks)
{
  base::SlotCount open = aWanted;
  auto hosts = static_cast<std::uint32_t>(aCentre.size());
  for (const SpillTarget& it : aCentre) {
    const base::SlotCount part((open.Count() + hosts - 1) / hosts);
    --hosts;
    if (part.Count() > 0) {
      open -= PlanHost(aNow, it.mHost, part, aBook, aAsks);
    }
  }
  return aWanted - open;
}

base::SlotCount SpillPolicy::PlanHost(base::TimePoint aNow,
                                      const base::HostId& aHost,
                                      base::SlotCount aWanted, GrantBook& aBook,
                                      std::vector<GrantAsk>& aAsks)
{
  const base::SlotCount held = aBook.Slots(aNow, aHost);
  const bool isExhausted = aBook.IsExhausted(aNow, aHost);
  if (held < aWanted || aBook.Remaining(aNow, aHost) < kRenewBelow) {
    if (auto ask = aBook.Ask(aNow, aHost, aWanted)) {
      aAsks.push_back(std::move(*ask));
    }
  }
  return isExhausted ? std::min(held, aWanted) : aWanted;
}

std::optional<GrantBook::Use> SpillPolicy::Place(base::TimePoint aNow,
                                                 GrantBook& aBook) const
{
  for (const Centre& centre : mCentres) {
    for (const SpillTarget& it : centre) {
      if (auto use = aBook.TryUse(aNow, it.mHost)) {
        return use;
      }
    }
  }
  return std::nullopt;
}

} // namespace auburnmux::steering
