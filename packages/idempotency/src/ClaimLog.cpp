#include "idempotency/src/ClaimLog.h"

#include <algorithm>
#include <utility>

#include "idempotency/src/BatchBuilder.h"
#include "idempotency/src/SegmentCodec.h"

namespace auburnmux::idempotency {
namespace {

/** Time between two deletes while old segments remain. */
constexpr base::Duration kDeleteInterval = std::chrono::seconds(1);

ClaimRecord RecordOf(const ClaimCall& aCall)
{
  return ClaimedRecord{ aCall.mKey, aCall.mHolder, aCall.mRequestHash };
}

} // namespace

ClaimLog::ClaimLog(ClaimLogSettings aSettings, std::uint64_t aSeed)
  : mSettings(aSettings)
  , mIndex(aSettings.mBodyBudget)
  , mChain(mIndex, aSettings.mSealAt, aSeed)
  , mTokens(aSettings.mCallsPerSecond, aSettings.mCallBurst)
{
}

ClaimLogActions ClaimLog::OnClaim(ClaimCall aCall, const Now& aNow)
{
  ClaimLogActions out;
  NoteTime(aNow);
  const WaitingClaim claim{ std::move(aCall), aNow.mTime, mChain.Started() };
  const ClaimRecord record =
    ClaimedRecord{ claim.mCall.mKey, claim.mCall.mHolder,
                   claim.mCall.mRequestHash };
  if (!IsStorable(record) || !mClaims.Add(claim)) {
    Reply(claim, ClaimVerdict::Unavailable, out);
  }
  Pump(aNow, out);
  return out;
}

ClaimLogActions ClaimLog::OnOutcome(const IdempotencyKey& aKey,
                                    ClaimHolder aHolder, Outcome aOutcome,
                                    const Now& aNow)
{
  ClaimLogActions out;
  NoteTime(aNow);
  Queue(RanRecord{ aKey, std::move(aHolder), Bounded(std::move(aOutcome)) });
  Pump(aNow, out);
  return out;
}

ClaimLogActions ClaimLog::OnRelease(const IdempotencyKey& aKey,
                                    ClaimHolder aHolder, const Now& aNow)
{
  ClaimLogActions out;
  NoteTime(aNow);
  // The attempt is over: it needs no answer, and recording its claim now would
  // only block the key.
  mClaims.RemoveIf([&aHolder](const WaitingClaim& aIt) {
    return aIt.mCall.mHolder == aHolder;
  });
  Queue(ReleasedRecord{ aKey, std::move(aHolder) });
  Pump(aNow, out);
  return out;
}

ClaimLogActions ClaimLog::OnQueryAnswer(ClaimQueryAnswer aAnswer,
                                        const Now& aNow)
{
  ClaimLogActions out;
  NoteTime(aNow);
  const bool isResolved = aAnswer.mState == HolderState::NeverDispatched ||
                          aAnswer.mState == HolderState::Ran;
  for (WaitingClaim& it : mClaims.Items()) {
    if (it.mCall.mKey == aAnswer.mKey && it.mAskedHolder == aAnswer.mHolder) {
      it.mQuery =
        isResolved ? QueryProgress::Resolving : QueryProgress::NotKnown;
    }
  }
  if (aAnswer.mState == HolderState::NeverDispatched) {
    Queue(ReleasedRecord{ aAnswer.mKey, std::move(aAnswer.mHolder) });
  } else if (aAnswer.mState == HolderState::Ran) {
    Queue(RanRecord{ aAnswer.mKey, std::move(aAnswer.mHolder),
                     Bounded(std::move(aAnswer.mOutcome)) });
  }
  Pump(aNow, out);
  return out;
}

ClaimLogActions ClaimLog::OnResult(PlatformResult aResult, const Now& aNow)
{
  ClaimLogActions out;
  NoteTime(aNow);
  mChain.OnResult(std::move(aResult), aNow.mTime, out);
  Pump(aNow, out);
  return out;
}

ClaimLogActions ClaimLog::OnTick(const Now& aNow)
{
  ClaimLogActions out;
  NoteTime(aNow);
  mChain.OnTick(aNow.mTime, out);
  ForgetOld(aNow, out);
  Pump(aNow, out);
  return out;
}

void ClaimLog::NoteTime(const Now& aNow)
{
  // Never moves back: a key that this log may have forgotten stays refused
  // when the wall clock is set back.
  const Retention& retention = mSettings.mRetention;
  mRememberedSince =
    std::max(mRememberedSince, retention.RememberedSince(aNow.mWall));
  mAcceptedSince =
    std::max(retention.AcceptedSince(aNow.mWall), mRememberedSince);
  mChain.SetRememberedSince(mRememberedSince);
}

void ClaimLog::Queue(ClaimRecord aRecord)
{
  if (IsStorable(aRecord)) {
    mRecords.Add({ std::move(aRecord), mChain.Started() });
  }
}

void ClaimLog::Pump(const Now& aNow, ClaimLogActions& aOut)
{
  AnswerClaims(aNow, aOut);
  SettleRecords(aOut);
  StartOperation(aNow, aOut);
}

void ClaimLog::AnswerClaims(const Now& aNow, ClaimLogActions& aOut)
{
  mClaims.RemoveIf([this, &aNow, &aOut](WaitingClaim& aIt) {
    auto verdict = Judge(aIt, aNow, aOut);
    if (!verdict && IsOverdue(aIt, aNow)) {
      verdict = ClaimVerdict::Unavailable;
    }
    if (verdict) {
      Reply(aIt, *verdict, aOut);
    }
    return verdict.has_value();
  });
}

void ClaimLog::SettleRecords(ClaimLogActions& aOut)
{
  if (!mChain.IsLoaded()) {
    return;
  }
  mRecords.RemoveIf([this, &aOut](WaitingRecord& aIt) {
    const auto view = mIndex.Find(KeyOf(aIt.mRecord));
    const ClaimHolder& holder = HolderOf(aIt.mRecord);
    const bool isHeld = view && view->mHolder == holder;
    aIt.mIsAppendable = isHeld && view->mOutcome == nullptr;
    if (isHeld && view->mOutcome != nullptr) {
      aOut.emplace_back(SendClaimReply{ holder, ClaimVerdict::Ran, {} });
      return true;
    }
    // Another host may have recorded the claim since the chain was last read.
    return !isHeld && IsProvenSince(aIt.mArrival);
  });
}

std::optional<ClaimVerdict> ClaimLog::Judge(WaitingClaim& aClaim,
                                            const Now& aNow,
                                            ClaimLogActions& aOut)
{
  aClaim.mIsAppendable = false;
  aClaim.mNeedsRefresh = false;
  const base::WallTime time = aClaim.mCall.mKey.Time();
  const Retention& retention = mSettings.mRetention;
  if (time < mAcceptedSince) {
    return ClaimVerdict::Expired;
  }
  if (time > retention.AcceptedUntil(aNow.mWall) + retention.mClockMargin) {
    return ClaimVerdict::Unavailable;
  }
  if (!mChain.IsLoaded()) {
    return std::nullopt;
  }
  const auto view = mIndex.Find(aClaim.mCall.mKey);
  return view ? JudgeHeld(aClaim, *view, aNow, aOut) : JudgeFree(aClaim);
}

std::optional<ClaimVerdict> ClaimLog::JudgeFree(WaitingClaim& aClaim) const
{
  if (mIndex.Size() >= mSettings.mMaxKeys) {
    return ClaimVerdict::Unavailable;
  }
  aClaim.mIsAppendable = true;
  return std::nullopt;
}

std::optional<ClaimVerdict> ClaimLog::JudgeHeld(WaitingClaim& aClaim,
                                                const ClaimView& aView,
                                                const Now& aNow,
                                                ClaimLogActions& aOut)
{
  const bool isMatch = aView.mRequestHash == aClaim.mCall.mRequestHash;
  if (aView.mOutcome != nullptr) {
    return isMatch ? ClaimVerdict::Ran : ClaimVerdict::Mismatch;
  }
  if (aView.mHolder == aClaim.mCall.mHolder) {
    return ClaimVerdict::Granted;
  }
  if (aClaim.mQuery == QueryProgress::NotAsked ||
      !(aClaim.mAskedHolder == aView.mHolder)) {
    aClaim.mQuery = QueryProgress::Asked;
    aClaim.mAskedHolder = aView.mHolder;
    aClaim.mAsked = aNow.mTime;
    aOut.emplace_back(SendClaimQuery{ aView.mHolder, aClaim.mCall.mKey });
  }
  // Another host may have recorded an outcome or a release since.
  if (!IsProvenSince(aClaim.mArrival)) {
    aClaim.mNeedsRefresh = true;
    return std::nullopt;
  }
  const bool isSilent = aClaim.mQuery == QueryProgress::Asked &&
                        aNow.mTime - aClaim.mAsked >= mSettings.mQueryWait;
  if (aClaim.mQuery == QueryProgress::NotKnown || isSilent) {
    return isMatch ? ClaimVerdict::NotKnown : ClaimVerdict::Mismatch;
  }
  return std::nullopt;
}

bool ClaimLog::IsOverdue(const WaitingClaim& aClaim, const Now& aNow) const
{
  // While the platform has been failing for longer than a claim may wait,
  // waiting is of no use.
  const auto failing = mChain.FailingSince();
  return aNow.mTime - aClaim.mArrived >= mSettings.mLongestWait ||
         (failing && aNow.mTime - *failing >= mSettings.mLongestWait);
}

void ClaimLog::Reply(const WaitingClaim& aClaim, ClaimVerdict aVerdict,
                     ClaimLogActions& aOut) const
{
  SendClaimReply reply{ aClaim.mCall.mHolder, aVerdict, {} };
  if (aVerdict == ClaimVerdict::Ran) {
    const auto view = mIndex.Find(aClaim.mCall.mKey);
    reply.mOutcome = *view->mOutcome;
  }
  aOut.emplace_back(std::move(reply));
}

bool ClaimLog::IsProvenSince(OperationNumber aArrival) const
{
  return mChain.Proven() > aArrival;
}

void ClaimLog::StartOperation(const Now& aNow, ClaimLogActions& aOut)
{
  if (!mChain.IsIdle()) {
    return;
  }
  auto batch = NextBatch();
  if ((batch.empty() && !NeedsRefresh()) || !mTokens.Take(aNow.mTime)) {
    return;
  }
  if (batch.empty()) {
    mChain.Refresh(aNow.mTime, aOut);
  } else {
    mChain.Append(std::move(batch), aOut);
  }
}

std::vector<ClaimRecord> ClaimLog::NextBatch() const
{
  BatchBuilder batch;
  for (const WaitingRecord& it : mRecords.Items()) {
    if (it.mIsAppendable) {
      batch.Add(it.mRecord);
    }
  }
  for (const WaitingClaim& it : mClaims.Items()) {
    if (it.mIsAppendable) {
      batch.Add(RecordOf(it.mCall));
    }
  }
  return batch.Take();
}

bool ClaimLog::NeedsRefresh() const
{
  const auto& claims = mClaims.Items();
  const auto& records = mRecords.Items();
  return std::any_of(
           claims.begin(), claims.end(),
           [](const WaitingClaim& aIt) { return aIt.mNeedsRefresh; }) ||
         !records.empty();
}

void ClaimLog::ForgetOld(const Now& aNow, ClaimLogActions& aOut)
{
  if (aNow.mTime < mForgetDue) {
    return;
  }
  mIndex.Forget(mRememberedSince);
  const bool isDeleting = mChain.DeleteOldest(aOut);
  // One delete for each interval is too slow only while old segments remain.
  mForgetDue =
    aNow.mTime + (isDeleting ? kDeleteInterval : mSettings.mForgetInterval);
}

} // namespace auburnmux::idempotency
