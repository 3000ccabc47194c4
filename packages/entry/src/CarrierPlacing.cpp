#include "entry/src/Carrier.h"

#include <utility>

namespace auburnmux::entry {

namespace {

using carriage::Reason;

constexpr base::Duration kConnectTimeout = std::chrono::milliseconds(800);

/** Wait that is proposed for a request that crashes upstreams, as long as it
 * is refused at least. */
constexpr base::Duration kQuarantineRetryAfter = std::chrono::minutes(10);

} // namespace

void Carrier::Seek(bool aIsRepeat)
{
  const base::TimePoint now = mServices.mLoop.Now();
  if (mIsBodyStreaming && mLife->Attempts() > 0) {
    Execute(
      mLife->OnSelectionFailed(Reason::Rejected, mLife->RejectedRetryAfter()));
    return;
  }
  if (aIsRepeat && !mServices.Budget(mPlaceRequest.mService)
                      .TrySpend(now, mServices.mSharers)) {
    Execute(
      mLife->OnSelectionFailed(Reason::NoBudget, mLife->RejectedRetryAfter()));
    return;
  }
  mFingerprint = retries::MakeFingerprint(
    mPlaceRequest.mService, mExchange->Head().mMethod,
    mExchange->Head().mPath + '?' + mExchange->Head().mQuery, mBody);
  if (mServices.mCrashes.IsRefused(now, mFingerprint)) {
    Execute(
      mLife->OnSelectionFailed(Reason::Quarantined, kQuarantineRetryAfter));
    return;
  }
  mPlaceRequest.mKind =
    mRoute->mId.Text() + ' ' + mPlaceRequest.mService.Text();
  mPlaceRequest.mLatencyTarget = mRoute->mLatencyTarget;
  mPlaceRequest.mAllowedRegions = mRoute->mAllowedRegions;
  constexpr std::size_t kTypicalHeadAndResponse = 2000;
  mPlaceRequest.mBytes =
    base::ByteCount(mBody.size() + kTypicalHeadAndResponse);
  if (mRoute->mHasAffinity && mFacts.mObject) {
    mPlaceRequest.mObject = placing::ObjectHash(
      base::Hash64(*mFacts.mObject + ' ' + mPlaceRequest.mKind));
  }
  TryPlace();
}

void Carrier::TryPlace()
{
  const base::TimePoint now = mServices.mLoop.Now();
  mPlaceRequest.mTimeLeft = TimeLeft();
  const placing::PlaceDecision decision =
    mServices.mPlacement.Place(now, mPlaceRequest);
  mPlaceRequest.mIsPlacedBefore = true;
  if (const auto* wait = std::get_if<placing::Wait>(&decision)) {
    if (!mTicket) {
      mTicket = mServices.mDispatcher.Enter(
        mRoute->mRank.Count(), mArrived, mOnTimeUntil - wait->mResponseTime,
        [this, self = shared_from_this()] { TryPlace(); });
    }
    return;
  }
  LeaveQueue();
  if (const auto* place = std::get_if<placing::Placed>(&decision)) {
    mLife->OnUpstreamSelected();
    Send(*place);
  } else if (const auto* full = std::get_if<placing::NoCapacity>(&decision)) {
    Execute(mLife->OnSelectionFailed(Reason::NoCapacity, full->mRetryAfter));
  } else {
    Execute(mLife->OnSelectionFailed(
      Reason::NoUpstream, std::get<placing::NoUpstream>(decision).mRetryAfter));
  }
}

void Carrier::LeaveQueue()
{
  if (mTicket) {
    mWaited = mServices.mLoop.Now() - mArrived;
    mServices.mDispatcher.Leave(*std::exchange(mTicket, std::nullopt));
  }
}

http::ClientRequest Carrier::MakeRequest(
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
  mServices.mTranslator.WriteAttempt(request.mHeaders, TimeLeft(), aUpstream);
  if (head.mIsChunked && !mIsBodyStreaming) {
    request.mContentLength = base::ByteCount(mBody.size());
  } else {
    request.mContentLength = head.mContentLength;
    request.mIsChunked = head.mIsChunked;
  }
  if (mRoute->mKind != routing::RequestKind::Idempotent) {
    const auto trust = mServices.mIdleTrust.find(mPlaceRequest.mService);
    request.mMaxIdle = trust == mServices.mIdleTrust.end()
                         ? retries::IdleTrustSettings().mMaxLimit
                         : trust->second.MaxIdle(mServices.mLoop.Now());
  }
  request.mConnectTimeout = kConnectTimeout;
  request.mIsOwnResponse = [translator = &mServices.mTranslator,
                            id = mFacts.mId](const http::ResponseHead& aHead) {
    return translator->IsResponseTo(aHead, id);
  };
  return request;
}

void Carrier::Send(const placing::Placed& aPlace)
{
  mPlaceRequest.mTried.push_back(aPlace.mUpstream);
  mIsAttemptOpen = true;
  mAttempt = std::make_shared<Attempt>(mServices, *this, aPlace);
  mAttempt->Start(MakeRequest(aPlace.mUpstream));
  mAttempt->Exchange().SendBody(mBody);
  if (mIsBodyComplete) {
    mAttempt->Exchange().EndBody();
  }
  WatchForStraggling();
}

} // namespace auburnmux::entry
