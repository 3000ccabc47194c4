#include "entry/src/RequestForwarder.h"

#include <utility>

namespace auburnmux::entry {

namespace {

using placing::Outcome;

/** Fraction of the retry budget that stragglers may use; the rest is reserved
 * for retries of failed requests. */
constexpr double kStragglerBudgetFraction = 0.5;

/** Delay before an upstream is selected again for a straggler, if no other one
 * had capacity. */
constexpr base::Duration kStragglerRetryDelay = std::chrono::milliseconds(50);

/** Assumed round trip for IdleReuseLimit::OnReset(): the longest one, between
 * regions. A later reset is not attributed to the connection's idle time. */
constexpr base::Duration kResetRoundTrip = std::chrono::milliseconds(100);

} // namespace

void RequestForwarder::StartStragglerTimer()
{
  StopStragglerTimer();
  const auto limit = mServices.mStragglers.Threshold(
    mAttempt->Place().mExpected, mLatencyDeadline - mServices.mLoop.Now());
  if (limit && mStateMachine->MayReplaceAttempt()) {
    mStragglerTimer = mServices.mLoop.After(*limit, [this] {
      mStragglerTimer.reset();
      const auto self = shared_from_this();
      ReplaceStraggler();
    });
  }
}

bool RequestForwarder::MayReplaceStraggler()
{
  return mStateMachine->MayReplaceAttempt() && !mAttempt->HasHead() &&
         mServices.mCrashes.MayRetryAfterBreak(mFingerprint) &&
         !IdentifyAgain();
}

void RequestForwarder::ReplaceStraggler()
{
  const base::TimePoint now = mServices.mLoop.Now();
  if (!MayReplaceStraggler()) {
    return;
  }
  // The upstream of the straggler may be selected again, as it has the object
  // cached: attempts are slow at random.
  placing::PlaceRequest request = mPlaceRequest;
  request.mTried.pop_back();
  request.mStraggling = mAttempt->Place().mUpstream;
  request.mTimeLeft = TimeLeft();
  const placing::PlaceDecision decision =
    mServices.mPlacement.Place(now, request);
  const auto* place = std::get_if<placing::Placed>(&decision);
  if (place == nullptr) {
    RetryReplacement();
    return;
  }
  const bool isAllowed =
    mServices.mStragglers.TrySpend(now) &&
    mServices.RetryBudget(mPlaceRequest.mService)
      .TrySpend(now, mServices.mSharers, kStragglerBudgetFraction);
  if (!isAllowed) {
    mServices.mPlacement.OnResult(now, request,
                                  { place->mUpstream, Outcome::Abandoned });
  } else if (mServices.mClient.HasIdle(
               mServices.mEndpoints.at(place->mUpstream))) {
    SendReplacement(*place);
  } else {
    ConnectReplacement(*place);
  }
}

void RequestForwarder::ConnectReplacement(const placing::Placed& aPlace)
{
  mReplacement = aPlace;
  const bool isStarted = mServices.mClient.OpenIdle(
    mServices.mEndpoints.at(aPlace.mUpstream), kConnectTimeout,
    [weak = weak_from_this(),
     n = ++mReplacementCount](http::ConnectOutcome aOutcome) {
      const auto self = weak.lock();
      if (self && self->mReplacement && self->mReplacementCount == n) {
        self->OnReplacementConnected(aOutcome);
      }
    });
  if (!isStarted) {
    OnReplacementConnected(http::ConnectOutcome::Failed);
  }
}

void RequestForwarder::OnReplacementConnected(http::ConnectOutcome aOutcome)
{
  if (aOutcome == http::ConnectOutcome::Refused) {
    mServices.mCrashes.OnConnectRefused(mReplacement->mUpstream);
  }
  if (aOutcome != http::ConnectOutcome::Connected) {
    DropReplacement(Outcome::Unreachable);
    RetryReplacement();
  } else if (mServices.mEndpoints.count(mReplacement->mUpstream) > 0 &&
             MayReplaceStraggler()) {
    SendReplacement(*std::exchange(mReplacement, std::nullopt));
  } else {
    DropReplacement(Outcome::Abandoned);
  }
}

void RequestForwarder::SendReplacement(const placing::Placed& aPlace)
{
  LogStraggler(aPlace.mUpstream);
  CancelAttempt(Outcome::Replaced);
  mStateMachine->OnAttemptReplaced();
  Send(aPlace);
}

void RequestForwarder::DropReplacement(Outcome aOutcome)
{
  if (mReplacement) {
    mServices.mPlacement.OnResult(
      mServices.mLoop.Now(), mPlaceRequest,
      { std::exchange(mReplacement, std::nullopt)->mUpstream, aOutcome });
    mServices.mDispatcher.OnCapacityAvailable();
  }
}

void RequestForwarder::RetryReplacement()
{
  mStragglerTimer = mServices.mLoop.After(kStragglerRetryDelay, [this] {
    mStragglerTimer.reset();
    const auto self = shared_from_this();
    ReplaceStraggler();
  });
}

void RequestForwarder::StopStragglerTimer()
{
  DropReplacement(Outcome::Abandoned);
  if (mStragglerTimer) {
    mServices.mLoop.Cancel(*std::exchange(mStragglerTimer, std::nullopt));
  }
}

void RequestForwarder::EndAttempt(Outcome aOutcome)
{
  if (!std::exchange(mIsAttemptOpen, false)) {
    return;
  }
  mBody.OnAttemptEnded();
  const bool isNotRun =
    aOutcome == Outcome::Rejected || aOutcome == Outcome::Unreachable;
  mIsTokenUsed = mIsTokenUsed && (mHasRun || !isNotRun);
  mHasRun = mHasRun || !isNotRun;
  placing::PlacedResult result;
  result.mUpstream = mAttempt->Place().mUpstream;
  result.mOutcome = aOutcome;
  result.mWarmth = mAttempt->Place().mWarmth;
  result.mExpectedWork = mAttempt->Place().mExpectedWork;
  result.mBodyInFlight = mBodyInFlight;
  StopStragglerTimer();
  if (aOutcome == Outcome::Replaced || aOutcome == Outcome::Answered) {
    result.mElapsed = mAttempt->Elapsed();
    mServices.mStragglers.OnEnded(mAttempt->Place().mExpected,
                                  mAttempt->Elapsed());
  }
  if (const auto trip = mAttempt->Exchange().ConnectTime()) {
    mServices.mPlacement.OnRoundTrip(mAttempt->Place().mUpstream, *trip);
  }
  if (mAttempt->HasHead()) {
    result.mReport = mAttempt->Fields().mLoad;
  }
  mServices.mPlacement.OnResult(mServices.mLoop.Now(), mPlaceRequest, result);
  mServices.mDispatcher.OnCapacityAvailable();
}

void RequestForwarder::OnAttemptResponse()
{
  const auto self = shared_from_this();
  const carriage::ResponseClassification meaning = mAttempt->Classification();
  if (mAttempt->Fields().mIsOtherUpstream) {
    EndAttempt(Outcome::Unreachable);
  } else if (meaning.mIsNotRun) {
    EndAttempt(Outcome::Rejected);
  } else {
    EndAttempt(meaning.mIsFailure ? Outcome::Failed : Outcome::Answered);
    mServices.mCrashes.OnSuccess(mFingerprint);
  }
  const carriage::RequestActions actions = mStateMachine->OnResponse(meaning);
  if (actions.empty()) { // the end of a streamed response
    StopTimer();
    mExchange->Finish();
    LogEnd("relayed", mAttempt->Head().mStatus);
    return;
  }
  if (meaning.mIsFailure && !meaning.mIsNotRun) {
    mFailureResponse = mAttempt;
  }
  Execute(actions);
}

void RequestForwarder::OnAttemptStreaming()
{
  mStateMachine->OnStreaming();
  mIsAnswered = true;
  http::ResponseHead head = mAttempt->Head();
  http::RemoveHopByHop(head.mHeaders);
  mExchange->SendHead(head);
  mExchange->SendBody(mAttempt->TakeBody());
  ReleaseBuffers();
}

void RequestForwarder::OnAttemptBody(std::string_view aPart)
{
  mExchange->SendBody(aPart);
  if (mExchange->PendingBytes() > mServices.ExchangeBound()) {
    mAttempt->Exchange().PauseReading(true);
  }
}

void RequestForwarder::OnWritable()
{
  if (mAttempt && mStateMachine && !mStateMachine->IsEnded()) {
    mAttempt->Exchange().PauseReading(false);
  }
}

void RequestForwarder::OnTurn()
{
  if (mIsAttemptOpen) {
    mAttempt->HandleTurn();
  }
}

void RequestForwarder::OnAttemptWritable()
{
  if (mBody.HasAttempt()) {
    PauseClientIfBehind();
  }
}

void RequestForwarder::OnAttemptFailed(const http::Failure& aFailure)
{
  const auto self = shared_from_this();
  const bool isUnreachable =
    aFailure.mKind == http::FailureKind::ConnectRefused ||
    aFailure.mKind == http::FailureKind::ConnectFailed ||
    aFailure.mKind == http::FailureKind::ConnectTimeout;
  ReportFailure(aFailure);
  EndAttempt(isUnreachable ? Outcome::Unreachable : Outcome::Failed);
  Execute(mStateMachine->OnAttemptFailed(aFailure.mMayHaveReached));
}

void RequestForwarder::ReportFailure(const http::Failure& aFailure)
{
  const base::TimePoint now = mServices.mLoop.Now();
  const base::UpstreamId& upstream = mAttempt->Place().mUpstream;
  base::LogInfo(
    base::LogLine("attempt_failed")
      .With("id", mFields.mId)
      .With("upstream", upstream)
      .With("kind", http::FailureName(aFailure.mKind))
      .With("may_have_run", aFailure.mMayHaveReached)
      .With("ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                    mAttempt->Elapsed())
                    .count()));
  const bool isBroken = aFailure.mKind == http::FailureKind::Reset ||
                        aFailure.mKind == http::FailureKind::Truncated;
  if (aFailure.mKind == http::FailureKind::ConnectRefused) {
    mServices.mCrashes.OnConnectRefused(upstream);
  } else if (isBroken && aFailure.mMayHaveReached) {
    mHasBroken = true;
    mServices.mCrashes.OnBroken(mFingerprint,
                                { upstream, now - mAttempt->Elapsed(), now });
  } else if (aFailure.mKind == http::FailureKind::Malformed &&
             aFailure.mMayHaveReached) {
    ReportEndedEarly();
  }
  if (aFailure.mKind == http::FailureKind::Reset && aFailure.mMayHaveReached &&
      aFailure.mIdleBefore) {
    mServices.mIdleReuseLimits[mPlaceRequest.mService].OnReset(
      now, *aFailure.mIdleBefore, mAttempt->Elapsed(), kResetRoundTrip);
  }
}

void RequestForwarder::UpdateBodyInFlight()
{
  if (!mIsAttemptOpen) {
    return;
  }
  const base::ByteCount now(
    mBody.InFlight(mPlaceRequest.mBody.Count(),
                   mAttempt->Exchange().UnacknowledgedBytes().Count()));
  const base::ByteCount before = std::exchange(mBodyInFlight, now);
  mServices.mPlacement.SetBodyInFlight(mAttempt->Place().mUpstream, before,
                                       now);
  if (now < before) {
    mServices.mDispatcher.OnCapacityAvailable();
  }
}

void RequestForwarder::CancelAttempt(Outcome aOutcome)
{
  EndAttempt(aOutcome);
  LogCancelled(aOutcome);
  const bool mayHaveReached = mAttempt->Exchange().MayHaveReached();
  mAttempt->Cancel();
  if (mayHaveReached) {
    ReportEndedEarly();
  }
}

void RequestForwarder::ReportEndedEarly()
{
  const base::TimePoint now = mServices.mLoop.Now();
  mServices.mCrashes.OnCancelled(
    mFingerprint,
    { mAttempt->Place().mUpstream, now - mAttempt->Elapsed(), now }, mDeadline);
}

} // namespace auburnmux::entry
