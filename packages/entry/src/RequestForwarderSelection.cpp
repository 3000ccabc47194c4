#include "entry/src/RequestForwarder.h"

#include <algorithm>
#include <utility>

namespace auburnmux::entry {

namespace {

using carriage::Reason;

/** Retry-after of a request that crashes upstreams; it is refused for at least
 * this long. */
constexpr base::Duration kQuarantineRetryAfter = std::chrono::minutes(10);

} // namespace

void RequestForwarder::SelectUpstream(bool aUsesRetryBudget)
{
  const base::TimePoint now = mServices.mLoop.Now();
  if (!mBody.MayBeSent()) {
    Execute(mStateMachine->OnSelectionFailed(
      Reason::Rejected, mStateMachine->RejectedRetryAfter()));
    return;
  }
  if (aUsesRetryBudget && !mServices.RetryBudget(mPlaceRequest.mService)
                             .TrySpend(now, mServices.mSharers)) {
    Execute(mStateMachine->OnSelectionFailed(
      Reason::NoBudget, mStateMachine->RejectedRetryAfter()));
    return;
  }
  mFingerprint = retries::MakeFingerprint(
    mPlaceRequest.mService, mExchange->Head().mMethod,
    mExchange->Head().mPath + '?' + mExchange->Head().mQuery, mBody.Prefix());
  const bool mayCrashAgain =
    mHasBroken && !mServices.mCrashes.MayRetryAfterBreak(mFingerprint);
  if (mayCrashAgain || mServices.mCrashes.IsRefused(mFingerprint)) {
    Execute(mStateMachine->OnSelectionFailed(Reason::Quarantined,
                                             kQuarantineRetryAfter));
    return;
  }
  constexpr std::size_t kTypicalHeadAndResponse = 2000;
  mPlaceRequest.mBytes =
    base::ByteCount(mBody.Size() + kTypicalHeadAndResponse);
  mPlaceRequest.mBody =
    std::max(base::ByteCount(mBody.Size()),
             mExchange->Head().mContentLength.value_or(base::ByteCount(0)));
  if (mRoute->mHasAffinity && mFields.mObject) {
    mPlaceRequest.mObject = placing::ObjectHash(
      base::Hash64(*mFields.mObject + ' ' + mPlaceRequest.mKind));
  }
  TryPlace();
}

void RequestForwarder::TryPlace()
{
  if (!mStateMachine->MayHaveRun() && IsCutOffByStop()) {
    LeaveQueue();
    Execute(
      mStateMachine->OnSelectionFailed(Reason::Stopping, kStoppingRetryAfter));
    return;
  }
  if (const auto refusal = IdentifyAgain()) {
    LeaveQueue();
    Execute(mStateMachine->OnSelectionFailed(*refusal, kOutdatedRetryAfter));
    return;
  }
  std::optional<admission::QueuedRequest> arriving;
  if (mSender && !mTicket) {
    const placing::Wait estimate =
      mServices.mPlacement.EstimateWait(mPlaceRequest);
    arriving = ToQueue(estimate);
    // A slot that has become free since the last round belongs to those that
    // wait for it.
    if (!mServices.mDispatcher.IsNext(*arriving)) {
      Enqueue(estimate);
      mIsWaitEstimated = true;
      return;
    }
  }
  const base::TimePoint now = mServices.mLoop.Now();
  mPlaceRequest.mTimeLeft = TimeLeft();
  const placing::PlaceDecision decision =
    mServices.mPlacement.Place(now, mPlaceRequest);
  mPlaceRequest.mIsPlacedBefore = true;
  if (const auto* wait = std::get_if<placing::Wait>(&decision)) {
    if (!mTicket) {
      Enqueue(*wait);
    } else if (std::exchange(mIsWaitEstimated, false)) {
      mServices.mDispatcher.Update(*mTicket, ToQueue(*wait));
    }
    return;
  }
  const auto* place = std::get_if<placing::Placed>(&decision);
  if (mTicket && place != nullptr) {
    mServices.mDispatcher.OnSent(*mTicket);
  } else if (arriving && place != nullptr) {
    mServices.mDispatcher.OnSentDirectly(*arriving);
  }
  LeaveQueue();
  if (place != nullptr) {
    SendWithinQuota(*place);
  } else if (const auto* full = std::get_if<placing::NoCapacity>(&decision)) {
    Execute(
      mStateMachine->OnSelectionFailed(Reason::NoCapacity, full->mRetryAfter));
  } else {
    Execute(mStateMachine->OnSelectionFailed(
      Reason::NoUpstream, std::get<placing::NoUpstream>(decision).mRetryAfter));
  }
}

void RequestForwarder::Enqueue(const placing::Wait& aWait)
{
  const auto self = shared_from_this();
  mTicket = mServices.mDispatcher.Enqueue(
    ToQueue(aWait),
    { [this, self] { TryPlace(); }, [this, self] { RefuseQueued(); } });
}

admission::QueuedRequest RequestForwarder::ToQueue(
  const placing::Wait& aWait) const
{
  admission::QueuedRequest request;
  request.mRank = mRoute->mRank.Count();
  request.mArrived = mArrived;
  request.mSendBy = mLatencyDeadline - aWait.mResponseTime;
  request.mGiveUpAt = aWait.mIsMeasured ? mDeadline - aWait.mResponseTime
                                        : base::TimePoint::max();
  request.mService = mPlaceRequest.mService;
  if (mSender && mSender->mCustomer) {
    const customers::Customer& customer = *mSender->mCustomer;
    request.mCustomer = customer.mId;
    if (customer.mRank) {
      request.mCustomerRank = customer.mRank->Count();
    }
    request.mWeight = customer.Weight();
  }
  return request;
}

void RequestForwarder::RefuseQueued()
{
  LeaveQueue();
  Execute(mStateMachine->OnSelectionFailed(Reason::NoCapacity,
                                           placing::kDefaultRetryAfter));
}

void RequestForwarder::LeaveQueue()
{
  LeaveQuota();
  if (mTicket) {
    mQueueTime = mServices.mLoop.Now() - mArrived;
    mServices.mDispatcher.Remove(*std::exchange(mTicket, std::nullopt));
  }
}

http::ClientRequest RequestForwarder::MakeRequest(
  const base::UpstreamId& aUpstream) const
{
  const http::RequestHead& head = mExchange->Head();
  http::ClientRequest request;
  request.mEndpoint = mServices.mEndpoints.at(aUpstream);
  request.mMethod = head.mMethod;
  request.mTarget =
    head.mQuery.empty() ? head.mPath : head.mPath + '?' + head.mQuery;
  request.mHeaders = head.mHeaders;
  http::RemoveHopByHop(request.mHeaders);
  mServices.mTranslator.WriteAttempt(request.mHeaders, TimeLeft(), aUpstream,
                                     mSender);
  if (head.mIsChunked && !mBody.IsStreamed()) {
    request.mContentLength = base::ByteCount(mBody.Size());
  } else {
    request.mContentLength = head.mContentLength;
    request.mIsChunked = head.mIsChunked;
  }
  if (mRoute->mKind != routing::RequestKind::Idempotent) {
    const auto limit = mServices.mIdleReuseLimits.find(mPlaceRequest.mService);
    request.mMaxIdle = limit == mServices.mIdleReuseLimits.end()
                         ? retries::IdleReuseLimitSettings().mMaxLimit
                         : limit->second.MaxIdle(mServices.mLoop.Now());
  }
  request.mConnectTimeout = kConnectTimeout;
  // Without an id, only a connection of its own shows whose response it is.
  request.mNeedsFreshConnection = mFields.mId.empty();
  request.mResponseOwner = [translator = &mServices.mTranslator,
                            id = mFields.mId](const http::ResponseHead& aHead,
                                              bool aIsFirstRequest) {
    return carriage::OwnerOf(id, translator->ReadRequestId(aHead),
                             aIsFirstRequest);
  };
  return request;
}

void RequestForwarder::Send(const placing::Placed& aPlace)
{
  mPlaceRequest.mTried.push_back(aPlace.mUpstream);
  mIsAttemptOpen = true;
  mIsTokenUsed = true;
  mBodyInFlight = mPlaceRequest.mBody;
  ListLargeBody(mBodyInFlight.Count());
  mAttempt = std::make_shared<Attempt>(mServices, weak_from_this(), aPlace);
  mAttempt->Start(MakeRequest(aPlace.mUpstream));
  mAttempt->Exchange().SendBody(mBody.OnAttemptBegins());
  if (mBody.IsComplete()) {
    mAttempt->Exchange().EndBody();
  } else {
    PauseClientIfBehind();
  }
  StartStragglerTimer();
}

} // namespace auburnmux::entry
