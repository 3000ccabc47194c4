#include "steering/src/GrantBook.h"

#include <algorithm>
#include <cassert>

namespace auburnmux::steering {

namespace {

/** Bits for the requests of one incarnation: a million each millisecond. */
constexpr unsigned kCorrelationBits = 20;
/** A receiver that gave less than wanted is asked again after this. */
constexpr base::Duration kExhaustedFor = std::chrono::milliseconds(500);

} // namespace

GrantBook::GrantBook(base::Incarnation aIncarnation)
  : mLast(aIncarnation.Count() << kCorrelationBits)
{
}

const GrantBook::Holding* GrantBook::Find(const base::HostId& aReceiver) const
{
  const auto it = mHoldings.find(aReceiver);
  return it == mHoldings.end() ? nullptr : &it->second;
}

std::optional<GrantAsk> GrantBook::Ask(base::TimePoint aNow,
                                       const base::HostId& aReceiver,
                                       base::SlotCount aSlots)
{
  if (Find(aReceiver) == nullptr && mHoldings.size() >= kMaxPartners) {
    ForgetIdle(aNow);
    if (mHoldings.size() >= kMaxPartners) {
      return std::nullopt;
    }
  }
  Holding& holding = mHoldings[aReceiver];
  if (holding.mIsPending && aNow - holding.mAskedAt < kAskTimeout) {
    return std::nullopt;
  }
  mLast += Correlation(1);
  holding.mAsked = mLast;
  holding.mAskedAt = aNow;
  holding.mWanted = aSlots;
  holding.mIsPending = true;
  return GrantAsk{ aReceiver, mLast, aSlots };
}

void GrantBook::ForgetIdle(base::TimePoint aNow)
{
  for (auto it = mHoldings.begin(); it != mHoldings.end();) {
    const Holding& holding = it->second;
    const bool isIdle = holding.mInUse.Count() == 0 && holding.mUntil <= aNow &&
                        aNow - holding.mAskedAt >= kAskTimeout;
    it = isIdle ? mHoldings.erase(it) : std::next(it);
  }
}

void GrantBook::OnOffer(const base::HostId& aReceiver, const GrantOffer& aOffer)
{
  const auto it = mHoldings.find(aReceiver);
  if (it == mHoldings.end() || !it->second.mIsPending ||
      it->second.mAsked != aOffer.mCorrelation) {
    return;
  }
  Holding& holding = it->second;
  holding.mIsPending = false;
  holding.mIsExhausted = aOffer.mSlots < holding.mWanted;
  if (aOffer.mSlots.Count() > 0) {
    const base::Duration lifetime =
      std::clamp(aOffer.mLifetime, base::Duration::zero(), kGrantLifetime);
    holding.mToken = aOffer.mToken;
    holding.mSlots = std::min(aOffer.mSlots, holding.mWanted);
    holding.mUntil = holding.mAskedAt + lifetime - kUseMargin;
  }
}

std::optional<GrantBook::Use> GrantBook::TryUse(base::TimePoint aNow,
                                                const base::HostId& aReceiver)
{
  if (InUse(aReceiver) >= Slots(aNow, aReceiver)) {
    return std::nullopt;
  }
  Holding& holding = mHoldings[aReceiver];
  holding.mInUse += base::SlotCount(1);
  return Use{ aReceiver, holding.mToken };
}

void GrantBook::OnFinished(const base::HostId& aReceiver)
{
  const auto it = mHoldings.find(aReceiver);
  assert(it != mHoldings.end() && it->second.mInUse.Count() > 0);
  it->second.mInUse -= base::SlotCount(1);
}

void GrantBook::OnRefused(const Use& aUse)
{
  OnFinished(aUse.mReceiver);
  Holding& holding = mHoldings[aUse.mReceiver];
  if (holding.mToken == aUse.mToken) {
    holding.mSlots = base::SlotCount(0);
  }
}

base::SlotCount GrantBook::Slots(base::TimePoint aNow,
                                 const base::HostId& aReceiver) const
{
  const Holding* it = Find(aReceiver);
  return it != nullptr && aNow < it->mUntil ? it->mSlots : base::SlotCount(0);
}

base::SlotCount GrantBook::InUse(const base::HostId& aReceiver) const
{
  const Holding* it = Find(aReceiver);
  return it == nullptr ? base::SlotCount(0) : it->mInUse;
}

base::SlotCount GrantBook::TotalInUse() const
{
  base::SlotCount out;
  for (const auto& [receiver, holding] : mHoldings) {
    out += holding.mInUse;
  }
  return out;
}

base::Duration GrantBook::Remaining(base::TimePoint aNow,
                                    const base::HostId& aReceiver) const
{
  const Holding* it = Find(aReceiver);
  return it == nullptr ? base::Duration::zero()
                       : std::max<base::Duration>(it->mUntil - aNow,
                                                  base::Duration::zero());
}

bool GrantBook::IsExhausted(base::TimePoint aNow,
                            const base::HostId& aReceiver) const
{
  const Holding* it = Find(aReceiver);
  if (it == nullptr) {
    return false;
  }
  const bool isSilent =
    it->mIsPending && aNow - it->mAskedAt >= kAskTimeout / 2;
  return isSilent || (it->mIsExhausted && aNow - it->mAskedAt < kExhaustedFor);
}

} // namespace auburnmux::steering
