#include "steering/src/GrantAccount.h"

#include <algorithm>
#include <cassert>

namespace auburnmux::steering {

void GrantAccount::Expire(base::TimePoint aNow)
{
  mLiveGrants.erase(std::remove_if(mLiveGrants.begin(), mLiveGrants.end(),
                                   [&](const IssuedGrant& aGrant) {
                                     return aGrant.mExpiry <= aNow;
                                   }),
                    mLiveGrants.end());
}

bool GrantAccount::IsAnswered(Correlation aCorrelation) const
{
  return aCorrelation <= mLastAnswered;
}

std::optional<GrantOffer> GrantAccount::FindOffer(
  Correlation aCorrelation) const
{
  for (const IssuedGrant& it : mLiveGrants) {
    if (it.mOffer.mCorrelation == aCorrelation) {
      return it.mOffer;
    }
  }
  return std::nullopt;
}

void GrantAccount::Add(const GrantOffer& aOffer, base::TimePoint aExpiry)
{
  mLastAnswered = aOffer.mCorrelation;
  if (aOffer.mSlots.Count() > 0) {
    mLiveGrants.push_back({ aOffer, aExpiry });
  }
}

base::SlotCount GrantAccount::SlotsOf(GrantToken aToken) const
{
  for (const IssuedGrant& it : mLiveGrants) {
    if (it.mOffer.mToken == aToken) {
      return it.mOffer.mSlots;
    }
  }
  return base::SlotCount(0);
}

base::SlotCount GrantAccount::Committed() const
{
  base::SlotCount out = mInUse;
  for (const IssuedGrant& it : mLiveGrants) {
    out = std::max(out, it.mOffer.mSlots);
  }
  return out;
}

void GrantAccount::Finish()
{
  assert(mInUse.Count() > 0);
  mInUse -= base::SlotCount(1);
}

} // namespace auburnmux::steering
