#include "entry/src/Attempt.h"

#include <utility>

namespace auburnmux::entry {

namespace {

/** Time in which what the kernel holds of a response is read before the
 * response is streamed. */
constexpr base::Duration kCatchUpTime = std::chrono::milliseconds(10);

} // namespace

Attempt::Attempt(Services& aServices, std::weak_ptr<AttemptObserver> aObserver,
                 const placing::Placed& aPlace)
  : mServices(aServices)
  , mObserver(std::move(aObserver))
  , mPlace(aPlace)
  , mStart(aServices.mLoop.Now())
  , mHolding(aServices.mHeld, buffering::Receiver::Client)
{
}

void Attempt::Start(const http::ClientRequest& aRequest)
{
  mExchange = mServices.mClient.Send(aRequest, shared_from_this());
}

void Attempt::Cancel()
{
  mObserver.reset();
  mExchange->Cancel();
}

base::Duration Attempt::Elapsed() const
{
  return mServices.mLoop.Now() - mStart;
}

void Attempt::OnHead(const http::ResponseHead& aHead)
{
  mHasHead = true;
  mHead = aHead;
  mFields = mServices.mTranslator.ReadResponse(aHead);
  if (!mFields.mIsOtherUpstream) {
    mServices.mCrashes.OnRunning(mPlace.mUpstream);
    ReportUpstream();
  }
  mClassification =
    carriage::Classify({ aHead.mStatus, mFields.mHasReceipt,
                         mFields.mIsNotRun || mFields.mIsOtherUpstream });
  if (!mClassification) {
    FailUnproven();
    return;
  }
  mClassification->mHadFreeSlot =
    mFields.mLoad && mFields.mLoad->mRunning < mFields.mLoad->mSlots.Count();
  if (IsRejection() && aHead.mContentLength &&
      aHead.mContentLength->Count() > kMaxRejectionBodyBytes) {
    EndRejection();
  }
}

void Attempt::EndRejection()
{
  const auto observer = std::exchange(mObserver, {}).lock();
  mExchange->Cancel();
  if (observer) {
    observer->OnAttemptResponse();
  }
}

void Attempt::FailUnproven()
{
  const auto observer = std::exchange(mObserver, {}).lock();
  mExchange->Cancel();
  if (!observer) {
    return;
  }
  base::LogWarning(base::LogLine("response_unproven")
                     .With("upstream", mPlace.mUpstream)
                     .With("status", mHead.mStatus)
                     .With("receipt", mFields.mHasReceipt)
                     .With("not_run", mFields.mIsNotRun));
  mServices.mMetrics.Count("auburnmux_responses_unproven_total");
  observer->OnAttemptFailed({ http::FailureKind::Malformed, true, {} });
}

void Attempt::ReportUpstream()
{
  if (mFields.mIsLeaving) {
    mServices.mReportLeaving(mPlace.mUpstream, mStart);
  }
  const base::TimePoint now = mServices.mLoop.Now();
  if (mFields.mRetryAfter) {
    mServices.mPlacement.OnRetryAfter(now, mPlace.mUpstream,
                                      *mFields.mRetryAfter);
    LogRetryAfter();
  }
  const bool isChanged =
    mServices.mPlacement.OnLimit(now, mPlace.mUpstream, mFields.mLimit, mStart);
  if (isChanged) {
    LogLimit();
  }
}

void Attempt::LogRetryAfter() const
{
  base::LogInfo(
    base::LogLine("upstream_refuses")
      .With("id", mPlace.mUpstream)
      .With("ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                    *mFields.mRetryAfter)
                    .count()));
}

void Attempt::LogLimit() const
{
  base::LogLine line("upstream_limit");
  line.With("id", mPlace.mUpstream);
  if (const auto share = mServices.mPlacement.LimitShareOf(mPlace.mUpstream)) {
    line.With("limit", *mFields.mLimit).With("own_rate", share->mRate);
  } else {
    line.With("limit", "none");
  }
  base::LogInfo(line);
}

void Attempt::OnBody(std::string_view aPart)
{
  const auto observer = mObserver.lock();
  if (!observer) {
    return;
  }
  if (IsRejection()) {
    mDroppedBytes += aPart.size();
    if (mDroppedBytes > kMaxRejectionBodyBytes) {
      EndRejection();
    }
    return;
  }
  if (mIsStreaming) {
    observer->OnAttemptBody(aPart);
    return;
  }
  mBody += aPart;
  mHolding.Set(mBody.size());
  const std::size_t bound = mServices.ExchangeBound().Count();
  if (mBody.size() <= bound) {
    return;
  }
  if (!observer->MayStream()) {
    mIsHeld = true;
    mExchange->PauseReading(true);
  } else if (!mIsCatchingUp || mBody.size() > 2 * bound) {
    BeginStreaming();
  }
}

void Attempt::HandleTurn()
{
  if (!std::exchange(mIsHeld, false)) {
    return;
  }
  mIsCatchingUp = true;
  mExchange->PauseReading(false);
  mServices.mLoop.After(kCatchUpTime, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->mIsCatchingUp) {
      self->BeginStreaming();
    }
  });
}

void Attempt::BeginStreaming()
{
  mIsCatchingUp = false;
  mIsStreaming = true;
  if (const auto observer = mObserver.lock()) {
    observer->OnAttemptStreaming();
  }
}

void Attempt::OnEnd()
{
  if (const auto observer = std::exchange(mObserver, {}).lock()) {
    observer->OnAttemptResponse();
  }
}

void Attempt::OnFailure(const http::Failure& aFailure)
{
  const auto observer = std::exchange(mObserver, {}).lock();
  if (observer && IsRejection()) {
    observer->OnAttemptResponse(); // the head alone states it
  } else if (observer) {
    observer->OnAttemptFailed(aFailure);
  }
}

void Attempt::OnWritable()
{
  if (const auto observer = mObserver.lock()) {
    observer->OnAttemptWritable();
  }
}

} // namespace auburnmux::entry
