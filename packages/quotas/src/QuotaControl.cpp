#include "quotas/src/QuotaControl.h"

#include <algorithm>
#include <utility>

namespace auburnmux::quotas {

namespace {

/** Time after its start until which a host doesn't contribute a share. The
 * attachment of an earlier process at its address may still be in force, and
 * the host doesn't know the other ones yet. */
constexpr base::Duration kMinAge = std::chrono::seconds(1);

/** Time for which the number of known hosts must not have grown, if all
 * attached hosts have just started. */
constexpr base::Duration kSteadyFleet = std::chrono::milliseconds(500);

/** Time for which silent hosts count, see membership::ActiveHostCounter. */
constexpr base::Duration kSilentHostRetention = std::chrono::minutes(5);

} // namespace

QuotaControl::QuotaControl(base::HostId aSelf, const QuotaSettings& aSettings,
                           base::TimePoint aNow, std::uint64_t aRandom)
  : mSelf(std::move(aSelf))
  , mClock(aNow, aRandom)
  , mStart(aNow)
  , mLeaf(mClock)
  , mAggregator(mClock)
  , mRoot(aSettings, mClock)
  , mFleetGrewAt(aNow)
{
}

Actions QuotaControl::SetQuotas(base::TimePoint aNow, const QuotaTable& aQuotas)
{
  Actions actions;
  mLeaf.SetQuotas(aNow, aQuotas, actions);
  mRoot.SetQuotas(aNow, aQuotas);
  Process(aNow, actions);
  return actions;
}

Actions QuotaControl::SetFleet(base::TimePoint aNow, Fleet aFleet)
{
  if (aFleet.mKnown > mFleet.mKnown) {
    mFleetGrewAt = aNow;
  }
  mFleet = std::move(aFleet);
  mLeaf.SetTargets(aNow, mFleet.mAggregators);
  std::vector<base::HostId> roots{ mFleet.mRoot };
  if (mFleet.mRoot != mSelf) {
    roots.push_back(mSelf);
  }
  mAggregator.SetTargets(aNow, std::move(roots));
  Actions actions;
  Process(aNow, actions);
  return actions;
}

Decision QuotaControl::Take(base::TimePoint aNow, CustomerHash aCustomer,
                            Actions& aOut)
{
  const Decision decision = mLeaf.Take(aNow, aCustomer);
  Process(aNow, aOut);
  return decision;
}

Actions QuotaControl::GiveBack(base::TimePoint aNow, const Token& aToken)
{
  Actions actions;
  mLeaf.GiveBack(aNow, aToken, actions);
  return actions;
}

Actions QuotaControl::OnReport(base::TimePoint aNow, const base::HostId& aFrom,
                               const Report& aReport)
{
  Actions actions;
  Deliver(aNow, aFrom, aReport, actions);
  Process(aNow, actions);
  return actions;
}

Actions QuotaControl::OnGrant(base::TimePoint aNow, const base::HostId& aFrom,
                              const Grant& aGrant)
{
  Actions actions;
  Deliver(aNow, aFrom, aGrant, actions);
  Process(aNow, actions);
  return actions;
}

Actions QuotaControl::OnTime(base::TimePoint aNow)
{
  Actions actions;
  Process(aNow, actions);
  return actions;
}

void QuotaControl::Deliver(base::TimePoint aNow, const base::HostId& aFrom,
                           const Message& aMessage, Actions& aOut)
{
  Outbox grants;
  if (const auto* report = std::get_if<Report>(&aMessage)) {
    if (report->mLevel == Level::Aggregator) {
      mAggregator.OnReport(aNow, aFrom, *report, grants);
    } else if (auto grant = mRoot.OnReport(aNow, aFrom, *report)) {
      grants.emplace_back(aFrom, std::move(*grant));
    }
  } else {
    const Grant& grant = std::get<Grant>(aMessage);
    if (grant.mLevel == Level::Aggregator) {
      mLeaf.OnGrant(aNow, aFrom, grant, aOut);
    } else {
      mAggregator.OnGrant(aNow, aFrom, grant, grants);
    }
  }
  SendGrants(grants, aOut);
}

void QuotaControl::Send(const base::HostId& aTo, Message aMessage,
                        Actions& aOut)
{
  if (aTo == mSelf) {
    mOwnMessages.push_back(std::move(aMessage));
  } else if (auto* report = std::get_if<Report>(&aMessage)) {
    aOut.emplace_back(SendReport{ aTo, std::move(*report) });
  } else {
    aOut.emplace_back(SendGrant{ aTo, std::move(std::get<Grant>(aMessage)) });
  }
}

void QuotaControl::SendGrants(Outbox& aGrants, Actions& aOut)
{
  for (auto& [host, grant] : aGrants) {
    Send(host, std::move(grant), aOut);
  }
}

void QuotaControl::Process(base::TimePoint aNow, Actions& aOut)
{
  Outbox grants;
  mLeaf.OnTime(aNow, aOut);
  mAggregator.OnTime(aNow, grants);
  SendGrants(grants, aOut);
  UpdateStanding(aNow);
  bool isDone = false;
  while (!isDone) {
    isDone = true;
    if (!mOwnMessages.empty()) {
      const Message message = std::move(mOwnMessages.front());
      mOwnMessages.pop_front();
      Deliver(aNow, mSelf, message, aOut);
      isDone = false;
    } else if (mLeaf.NextSend() <= aNow) {
      Send(mLeaf.Target(), mLeaf.MakeReport(aNow), aOut);
      isDone = false;
    } else if (mAggregator.NextSend(aNow) <= aNow) {
      Send(mAggregator.Target(), mAggregator.MakeReport(aNow), aOut);
      isDone = false;
    }
  }
  if (std::exchange(mReportedAggregator, mLeaf.Target()) != mLeaf.Target()) {
    aOut.emplace_back(TargetChanged{ Level::Aggregator, mLeaf.Target() });
  }
  if (std::exchange(mReportedRoot, mAggregator.Target()) !=
      mAggregator.Target()) {
    aOut.emplace_back(TargetChanged{ Level::Root, mAggregator.Target() });
  }
}

void QuotaControl::UpdateStanding(base::TimePoint aNow)
{
  const Standing standing = mLeaf.GroupStanding();
  if (standing == Standing::Partial) {
    mHeardOfOthersAt = aNow;
  }
  if (!mIsEstablished && aNow - mStart >= kMinAge) {
    // Other hosts that don't know this one count each other's shares in full,
    // so this host may add its own only where there is no other root, or where
    // an earlier process at its address is counted.
    const bool mayBeUnknown =
      mHeardOfOthersAt && aNow - *mHeardOfOthersAt < kSilentHostRetention;
    const bool isSteady = aNow - mFleetGrewAt >= kSteadyFleet;
    mIsEstablished =
      standing == Standing::Whole ||
      (isSteady && (mFleet.mIsReplacement ||
                    (standing == Standing::Fresh && !mayBeUnknown)));
  }
  mLeaf.SetHosts(Totals());
}

HostTotals QuotaControl::Totals() const
{
  HostTotals totals;
  totals.mAttached = mFleet.mIsLeaving ? 0 : 1;
  if (mIsEstablished) {
    totals.mCounted = totals.mAttached;
    totals.mSharers = mFleet.mSharers;
    totals.mKnown = mFleet.mKnown;
  }
  return totals;
}

base::TimePoint QuotaControl::NextWake(base::TimePoint aNow)
{
  return std::min({ mLeaf.NextSend(), mLeaf.NextTimeout(),
                    mAggregator.NextSend(aNow), mAggregator.NextTimeout() });
}

} // namespace auburnmux::quotas
