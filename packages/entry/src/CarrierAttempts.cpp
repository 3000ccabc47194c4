#include "entry/src/Carrier.h"

#include <utility>

namespace auburnmux::entry {

namespace {

using placing::Outcome;

constexpr int kFirstServerError = 500;

/** Part of the budget of repeats that stragglers may use; the rest is left for
 * requests that would fail. */
constexpr double kStragglerBudget = 0.5;

/** Pause before a straggler for which there is no room elsewhere is looked at
 * again. */
constexpr base::Duration kStragglerPause = std::chrono::milliseconds(50);

/** Time after which a reset is taken for an answer to the first bytes, at most:
 * a round trip between regions. */
constexpr base::Duration kResetRoundTrip = std::chrono::milliseconds(100);

} // namespace

void Carrier::WatchForStraggling()
{
  StopWatch();
  const auto limit = mServices.mStragglers.Threshold(
    mAttempt->Place().mExpected, mOnTimeUntil - mServices.mLoop.Now());
  if (limit && mLife->MayReplaceAttempt()) {
    mStragglerTimer = mServices.mLoop.After(*limit, [this] {
      mStragglerTimer.reset();
      const auto self = shared_from_this();
      OnStraggling();
    });
  }
}

void Carrier::OnStraggling()
{
  const base::TimePoint now = mServices.mLoop.Now();
  if (!mLife->MayReplaceAttempt() || mAttempt->HasHead() ||
      mServices.mCrashes.IsRefused(now, mFingerprint)) {
    return;
  }
  // The upstream that has the object at hand may be tried again: stragglers
  // are a matter of chance.
  placing::PlaceRequest request = mPlaceRequest;
  request.mTried.pop_back();
  request.mStraggling = mAttempt->Place().mUpstream;
  request.mTimeLeft = TimeLeft();
  const placing::PlaceDecision decision =
    mServices.mPlacement.Place(now, request);
  const auto* place = std::get_if<placing::Placed>(&decision);
  if (place == nullptr) {
    mStragglerTimer = mServices.mLoop.After(kStragglerPause, [this] {
      mStragglerTimer.reset();
      const auto self = shared_from_this();
      OnStraggling();
    });
    return;
  }
  const bool isAllowed = mServices.mStragglers.TrySpend(now) &&
                         mServices.Budget(mPlaceRequest.mService)
                           .TrySpend(now, mServices.mSharers, kStragglerBudget);
  if (!isAllowed) {
    mServices.mPlacement.OnResult(now, request,
                                  { place->mUpstream, Outcome::Abandoned });
    return;
  }
  LogStraggler(place->mUpstream);
  CancelAttempt(Outcome::Replaced);
  mLife->OnAttemptReplaced();
  Send(*place);
}

void Carrier::StopWatch()
{
  if (mStragglerTimer) {
    mServices.mLoop.Cancel(*std::exchange(mStragglerTimer, std::nullopt));
  }
}

void Carrier::EndAttempt(Outcome aOutcome)
{
  if (!std::exchange(mIsAttemptOpen, false)) {
    return;
  }
  placing::PlacedResult result;
  result.mUpstream = mAttempt->Place().mUpstream;
  result.mOutcome = aOutcome;
  result.mWarmth = mAttempt->Place().mWarmth;
  result.mExpectedWork = mAttempt->Place().mExpectedWork;
  StopWatch();
  if (aOutcome == Outcome::Replaced || aOutcome == Outcome::Answered) {
    result.mElapsed = mAttempt->Elapsed();
    mServices.mStragglers.OnEnded(mAttempt->Place().mExpected,
                                  mAttempt->Elapsed());
  }
  if (const auto trip = mAttempt->Exchange().ConnectTime()) {
    mServices.mPlacement.OnRoundTrip(mAttempt->Place().mUpstream, *trip);
  }
  if (mAttempt->HasHead()) {
    result.mReport = mServices.mTranslator.ReadResponse(mAttempt->Head()).mLoad;
  }
  mServices.mPlacement.OnResult(mServices.mLoop.Now(), mPlaceRequest, result);
  mServices.mDispatcher.OnRoom();
}

void Carrier::OnAttemptResponse()
{
  const auto self = shared_from_this();
  const ResponseFacts facts =
    mServices.mTranslator.ReadResponse(mAttempt->Head());
  carriage::ResponseClassification meaning;
  meaning.mIsNotRun = facts.mIsNotRun || facts.mIsOtherUpstream;
  meaning.mIsFailure = mAttempt->Head().mStatus >= kFirstServerError;
  meaning.mHadFreeSlot =
    facts.mLoad && facts.mLoad->mRunning < facts.mLoad->mSlots.Count();
  if (facts.mIsOtherUpstream) {
    EndAttempt(Outcome::Unreachable);
  } else if (meaning.mIsNotRun) {
    EndAttempt(Outcome::Rejected);
  } else {
    EndAttempt(meaning.mIsFailure ? Outcome::Failed : Outcome::Answered);
    mServices.mCrashes.OnSuccess(mServices.mLoop.Now(), mFingerprint);
  }
  const carriage::RequestActions actions = mLife->OnResponse(meaning);
  if (actions.empty()) { // the end of a streamed response
    StopTimer();
    mExchange->Finish();
    LogEnd("relayed", mAttempt->Head().mStatus);
    return;
  }
  if (meaning.mIsFailure && !meaning.mIsNotRun) {
    mKept = mAttempt;
  }
  Execute(actions);
}

void Carrier::OnAttemptStreaming()
{
  mLife->OnStreaming();
  mIsAnswered = true;
  http::ResponseHead head = mAttempt->Head();
  http::RemoveHopByHop(head.mHeaders);
  mExchange->SendHead(head);
  mExchange->SendBody(mAttempt->Body());
}

void Carrier::OnAttemptBody(std::string_view aPart)
{
  mExchange->SendBody(aPart);
  if (mExchange->PendingBytes() > kMaxPending) {
    mAttempt->Exchange().PauseReading(true);
  }
}

void Carrier::OnWritable()
{
  if (mAttempt && mLife && !mLife->IsEnded()) {
    mAttempt->Exchange().PauseReading(false);
  }
}

void Carrier::OnAttemptWritable()
{
  if (mIsBodyStreaming) {
    mExchange->PauseReading(false);
  }
}

void Carrier::OnAttemptFailed(const http::Failure& aFailure)
{
  const auto self = shared_from_this();
  const bool isUnreachable =
    aFailure.mKind == http::FailureKind::ConnectRefused ||
    aFailure.mKind == http::FailureKind::ConnectTimeout;
  WatchForCrash(aFailure);
  EndAttempt(isUnreachable ? Outcome::Unreachable : Outcome::Failed);
  Execute(mLife->OnAttemptFailed(aFailure.mMayHaveReached));
}

void Carrier::WatchForCrash(const http::Failure& aFailure)
{
  const base::TimePoint now = mServices.mLoop.Now();
  const base::UpstreamId& upstream = mAttempt->Place().mUpstream;
  if (aFailure.mKind == http::FailureKind::ConnectRefused) {
    for (const retries::CrashRecord& it :
         mServices.mCrashes.OnRefusedConnection(now, upstream)) {
      base::LogWarning(base::LogLine("upstream_crash")
                         .With("upstream", upstream)
                         .With("fingerprint", it.mFingerprint)
                         .With("crashes", it.mUpstreams.size()));
      mServices.mReportCrash(mPlaceRequest.mService, it);
    }
  } else if (aFailure.mKind == http::FailureKind::Reset &&
             aFailure.mMayHaveReached) {
    mServices.mCrashes.OnBroken(now, upstream, mFingerprint);
    if (aFailure.mIdleBefore) {
      mServices.mIdleTrust[mPlaceRequest.mService].OnReset(
        now, *aFailure.mIdleBefore, mAttempt->Elapsed(), kResetRoundTrip);
    }
  }
}

void Carrier::CancelAttempt(Outcome aOutcome)
{
  EndAttempt(aOutcome);
  LogCancelled(aOutcome);
  mAttempt->Cancel();
}

} // namespace auburnmux::entry
