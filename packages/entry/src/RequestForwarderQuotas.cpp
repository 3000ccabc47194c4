#include "entry/src/RequestForwarder.h"

#include <utility>

namespace auburnmux::entry {

namespace {

using carriage::Reason;

} // namespace

void RequestForwarder::SendWithinQuota(const placing::Placed& aPlace)
{
  const bool hasQuota =
    mSender && mSender->mCustomer && mSender->mCustomer->mQuota.IsLimited();
  const bool hasToken = mToken && (mIsTokenUsed || QuotaNode::IsValid(*mToken));
  if (!hasQuota || hasToken) {
    mStateMachine->OnUpstreamSelected();
    Send(aPlace);
    return;
  }
  // The request ends the wait before it ends itself.
  const quotas::Decision decision = mServices.mQuotas->Take(
    HashCustomer(mSender->mCustomer->mId.Text()),
    [this](const quotas::Decision& aDecision) { OnQuotaAnswer(aDecision); });
  if (const auto* taken = std::get_if<quotas::Taken>(&decision)) {
    mToken = taken->mToken;
    mStateMachine->OnUpstreamSelected();
    Send(aPlace);
    return;
  }
  mHeldPlace = aPlace;
  if (const auto* waiting = std::get_if<quotas::Waiting>(&decision)) {
    mQuotaWaiter = waiting->mWaiter;
  } else {
    RefuseOverQuota(std::get<quotas::Refused>(decision));
  }
}

void RequestForwarder::OnQuotaAnswer(const quotas::Decision& aDecision)
{
  const auto self = shared_from_this();
  mQuotaWaiter.reset();
  if (const auto* taken = std::get_if<quotas::Taken>(&aDecision)) {
    mToken = taken->mToken;
    // The upstream may have left, and the key been withdrawn, in the meantime.
    LeaveQuota();
    TryPlace();
    return;
  }
  RefuseOverQuota(std::get<quotas::Refused>(aDecision));
}

void RequestForwarder::RefuseOverQuota(const quotas::Refused& aRefused)
{
  LeaveQuota();
  const bool isOver = aRefused.mReason == quotas::RefusalReason::OverQuota;
  Execute(mStateMachine->OnSelectionFailed(
    isOver ? Reason::OverQuota : Reason::QuotaUnknown, aRefused.mRetryAfter));
}

void RequestForwarder::LeaveQuota()
{
  if (mQuotaWaiter) {
    mServices.mQuotas->Cancel(*std::exchange(mQuotaWaiter, std::nullopt));
  }
  if (mHeldPlace) {
    const placing::Placed place = *std::exchange(mHeldPlace, std::nullopt);
    mServices.mPlacement.OnResult(
      mServices.mLoop.Now(), mPlaceRequest,
      { place.mUpstream, placing::Outcome::Abandoned });
    mServices.mDispatcher.OnCapacityAvailable();
  }
}

void RequestForwarder::GiveBackToken()
{
  if (mToken && !mIsTokenUsed) {
    mServices.mQuotas->GiveBack(*std::exchange(mToken, std::nullopt));
  }
}

} // namespace auburnmux::entry
