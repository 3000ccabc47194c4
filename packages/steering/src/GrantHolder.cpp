#include "steering/src/GrantHolder.h"

#include <algorithm>
#include <cassert>

namespace auburnmux::steering {

namespace {

/** Low bits of a correlation that count requests; the incarnation is above
 * them. They allow a million requests each millisecond. */
constexpr unsigned kCorrelationBits = 20;
/** Time for which a receiver that granted less than was requested counts as
 * exhausted. */
constexpr base::Duration kExhaustionTime = std::chrono::milliseconds(500);

} // namespace

GrantHolder::GrantHolder(base::Incarnation aIncarnation)
  : mLastCorrelation(aIncarnation.Count() << kCorrelationBits)
{
}

const GrantHolder::HeldGrant* GrantHolder::Find(
  const base::HostId& aReceiver) const
{
  const auto it = mHeldGrants.find(aReceiver);
  return it == mHeldGrants.end() ? nullptr : &it->second;
}

std::optional<SlotRequest> GrantHolder::RequestSlots(
  base::TimePoint aNow, const base::HostId& aReceiver, base::SlotCount aSlots)
{
  if (Find(aReceiver) == nullptr && mHeldGrants.size() >= kMaxTrackedHosts) {
    RemoveIdle(aNow);
    if (mHeldGrants.size() >= kMaxTrackedHosts) {
      return std::nullopt;
    }
  }
  HeldGrant& grant = mHeldGrants[aReceiver];
  if (grant.mIsPending && aNow - grant.mRequestedAt < kRequestTimeout) {
    return std::nullopt;
  }
  mLastCorrelation += Correlation(1);
  grant.mLastRequest = mLastCorrelation;
  grant.mRequestedAt = aNow;
  grant.mWanted = aSlots;
  grant.mIsPending = true;
  return SlotRequest{ aReceiver, mLastCorrelation, aSlots };
}

void GrantHolder::RemoveIdle(base::TimePoint aNow)
{
  for (auto it = mHeldGrants.begin(); it != mHeldGrants.end();) {
    const HeldGrant& grant = it->second;
    const bool isIdle = grant.mInUse.Count() == 0 &&
                        grant.mUsableUntil <= aNow &&
                        aNow - grant.mRequestedAt >= kRequestTimeout;
    it = isIdle ? mHeldGrants.erase(it) : std::next(it);
  }
}

void GrantHolder::OnOffer(const base::HostId& aReceiver,
                          const GrantOffer& aOffer)
{
  const auto it = mHeldGrants.find(aReceiver);
  if (it == mHeldGrants.end() || !it->second.mIsPending ||
      it->second.mLastRequest != aOffer.mCorrelation) {
    return;
  }
  HeldGrant& grant = it->second;
  grant.mIsPending = false;
  grant.mIsExhausted = aOffer.mSlots < grant.mWanted;
  if (aOffer.mSlots.Count() > 0) {
    const base::Duration lifetime =
      std::clamp(aOffer.mLifetime, base::Duration::zero(), kGrantLifetime);
    grant.mToken = aOffer.mToken;
    grant.mSlots = std::min(aOffer.mSlots, grant.mWanted);
    grant.mUsableUntil = grant.mRequestedAt + lifetime - kUseMargin;
  }
}

std::optional<GrantHolder::Use> GrantHolder::TryUse(
  base::TimePoint aNow, const base::HostId& aReceiver)
{
  if (InUse(aReceiver) >= GrantedSlots(aNow, aReceiver)) {
    return std::nullopt;
  }
  HeldGrant& grant = mHeldGrants[aReceiver];
  grant.mInUse += base::SlotCount(1);
  return Use{ aReceiver, grant.mToken };
}

void GrantHolder::OnFinished(const base::HostId& aReceiver)
{
  const auto it = mHeldGrants.find(aReceiver);
  assert(it != mHeldGrants.end() && it->second.mInUse.Count() > 0);
  it->second.mInUse -= base::SlotCount(1);
}

void GrantHolder::OnRefused(const Use& aUse)
{
  OnFinished(aUse.mReceiver);
  HeldGrant& grant = mHeldGrants[aUse.mReceiver];
  if (grant.mToken == aUse.mToken) {
    grant.mSlots = base::SlotCount(0);
  }
}

base::SlotCount GrantHolder::GrantedSlots(base::TimePoint aNow,
                                          const base::HostId& aReceiver) const
{
  const HeldGrant* it = Find(aReceiver);
  return it != nullptr && aNow < it->mUsableUntil ? it->mSlots
                                                  : base::SlotCount(0);
}

base::SlotCount GrantHolder::InUse(const base::HostId& aReceiver) const
{
  const HeldGrant* it = Find(aReceiver);
  return it == nullptr ? base::SlotCount(0) : it->mInUse;
}

base::SlotCount GrantHolder::TotalInUse() const
{
  base::SlotCount out;
  for (const auto& [receiver, grant] : mHeldGrants) {
    out += grant.mInUse;
  }
  return out;
}

base::Duration GrantHolder::RemainingTime(base::TimePoint aNow,
                                          const base::HostId& aReceiver) const
{
  const HeldGrant* it = Find(aReceiver);
  return it == nullptr ? base::Duration::zero()
                       : std::max<base::Duration>(it->mUsableUntil - aNow,
                                                  base::Duration::zero());
}

bool GrantHolder::IsExhausted(base::TimePoint aNow,
                              const base::HostId& aReceiver) const
{
  const HeldGrant* it = Find(aReceiver);
  if (it == nullptr) {
    return false;
  }
  const bool isSilent =
    it->mIsPending && aNow - it->mRequestedAt >= kRequestTimeout / 2;
  return isSilent ||
         (it->mIsExhausted && aNow - it->mRequestedAt < kExhaustionTime);
}

} // namespace auburnmux::steering
