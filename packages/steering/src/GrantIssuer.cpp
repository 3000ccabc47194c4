#include "steering/src/GrantIssuer.h"

#include <algorithm>

namespace auburnmux::steering {

namespace {

/** Time within which all hosts of the data centre apply an accepted
 * configuration. */
constexpr base::Duration kConfigPropagationTime = std::chrono::seconds(4);

} // namespace

GrantIssuer::GrantIssuer(const IssuerSettings& aSettings,
                         base::TimePoint aStart)
  : mSettings(aSettings)
  , mOldPortion(aSettings.mPortion)
  , mNewPortionFrom(aStart)
  , mFirstIssueTime(aStart + kGrantLifetime)
  , mRamp(aSettings.mRampPerSecond)
{
}

void GrantIssuer::Configure(base::TimePoint aNow,
                            const IssuerSettings& aSettings)
{
  mOldPortion = std::min(Portion(aNow), aSettings.mPortion);
  mNewPortionFrom = aNow + kGrantLifetime + kConfigPropagationTime;
  if (aSettings.mRampPerSecond != mSettings.mRampPerSecond) {
    mRamp = RampLimiter(aSettings.mRampPerSecond);
    mRamp.Record(aNow, Committed(aNow));
  }
  mSettings = aSettings;
}

void GrantIssuer::OnMeasured(base::TimePoint aNow, const SlotUse& aUse)
{
  mUse = aUse;
  mMeasuredAt = aNow;
  mHasMeasured = true;
}

GrantOffer GrantIssuer::OnRequest(base::TimePoint aNow,
                                  const base::HostId& aSender,
                                  Correlation aCorrelation,
                                  base::SlotCount aWanted,
                                  base::Random& aRandom)
{
  GrantOffer offer{ aCorrelation, {}, {}, kGrantLifetime };
  Expire(aNow);
  mRamp.Record(aNow, TotalCommitted());
  const bool isKnown = mAccounts.count(aSender) > 0;
  if (aNow < mFirstIssueTime || !IsMeasured(aNow) ||
      (!isKnown && mAccounts.size() >= kMaxTrackedHosts)) {
    return offer;
  }
  GrantAccount& account = mAccounts[aSender];
  if (account.IsAnswered(aCorrelation)) {
    return account.FindOffer(aCorrelation).value_or(offer);
  }
  if (!account.CanAdd()) {
    return offer;
  }
  offer.mSlots = std::min(aWanted, GrantableSlots(aNow, account));
  offer.mToken = GrantToken(aRandom.Next());
  account.Add(offer, aNow + kGrantLifetime);
  mRamp.Record(aNow, TotalCommitted());
  return offer;
}

bool GrantIssuer::Admit(base::TimePoint aNow, const base::HostId& aSender,
                        GrantToken aToken)
{
  Expire(aNow);
  const auto it = mAccounts.find(aSender);
  if (it == mAccounts.end()) {
    return false;
  }
  const bool hasRoom = !IsMeasured(aNow) || InUse() < FreeSlots();
  if (!hasRoom || it->second.InUse() >= it->second.SlotsOf(aToken)) {
    return false;
  }
  it->second.Use();
  return true;
}

void GrantIssuer::OnFinished(const base::HostId& aSender)
{
  const auto it = mAccounts.find(aSender);
  if (it != mAccounts.end()) {
    it->second.Finish();
  }
}

base::SlotCount GrantIssuer::Committed(base::TimePoint aNow) const
{
  base::SlotCount out;
  for (auto [sender, account] : mAccounts) {
    account.Expire(aNow);
    out += account.Committed();
  }
  return out;
}

base::SlotCount GrantIssuer::InUse() const
{
  base::SlotCount out;
  for (const auto& [sender, account] : mAccounts) {
    out += account.InUse();
  }
  return out;
}

void GrantIssuer::Expire(base::TimePoint aNow)
{
  for (auto& [sender, account] : mAccounts) {
    account.Expire(aNow);
  }
  // Idle accounts are kept, so that late duplicates are still recognised, and
  // are removed only when the limit on accounts is reached.
  for (auto it = mAccounts.begin();
       it != mAccounts.end() && mAccounts.size() >= kMaxTrackedHosts;) {
    const bool isIdle = it->second.Committed().Count() == 0;
    it = isIdle ? mAccounts.erase(it) : std::next(it);
  }
}

bool GrantIssuer::IsMeasured(base::TimePoint aNow) const
{
  return mHasMeasured && aNow - mMeasuredAt <= kMaxMeasurementAge;
}

base::SlotCount GrantIssuer::Portion(base::TimePoint aNow) const
{
  return aNow < mNewPortionFrom ? mOldPortion : mSettings.mPortion;
}

base::SlotCount GrantIssuer::FreeSlots() const
{
  return mUse.mShare > mUse.mLocal ? mUse.mShare - mUse.mLocal
                                   : base::SlotCount(0);
}

base::SlotCount GrantIssuer::TotalCommitted() const
{
  base::SlotCount out;
  for (const auto& [sender, account] : mAccounts) {
    out += account.Committed();
  }
  return out;
}

base::SlotCount GrantIssuer::GrantableSlots(base::TimePoint aNow,
                                            const GrantAccount& aAccount) const
{
  const base::SlotCount limit =
    std::min({ Portion(aNow), FreeSlots(),
               LinkConcurrencyLimit(mSettings.mLink), mRamp.MaxLevel(aNow) });
  const base::SlotCount others = TotalCommitted() - aAccount.Committed();
  return limit > others ? limit - others : base::SlotCount(0);
}

} // namespace auburnmux::steering
