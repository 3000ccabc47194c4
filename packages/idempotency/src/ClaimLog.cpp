#include "idempotency/src/ClaimLog.h"

#include <algorithm>
#include <utility>

#include "idempotency/src/BatchBuilder.h"
#include "idempotency/src/SegmentCodec.h"

namespace auburnmux::idempotency {
namespace {

/** Time between two deletes while expired segments remain. */
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
  UpdateRetentionLimits(aNow);
  const WaitingClaim claim{ std::move(aCall), aNow.mTime,
                            mChain.LastStarted() };
  const ClaimRecord record =
    ClaimedRecord{ claim.mCall.mKey, claim.mCall.mHolder,
                   claim.mCall.mRequestHash };
  if (!IsStorable(record) || !mClaims.Add(claim)) {
    Reply(claim, ClaimVerdict::Unavailable, out);
  }
  ProcessQueues(aNow, out);
  return out;
}

ClaimLogActions ClaimLog::OnOutcome(const IdempotencyKey& aKey,
                                    ClaimHolder aHolder, Outcome aOutcome,
                                    const Now& aNow)
{
  ClaimLogActions out;
  UpdateRetentionLimits(aNow);
  Queue(RanRecord{ aKey, std::move(aHolder), Bounded(std::move(aOutcome)) });
  ProcessQueues(aNow, out);
  return out;
}

ClaimLogActions ClaimLog::OnRelease(const IdempotencyKey& aKey,
                                    ClaimHolder aHolder, const Now& aNow)
{
  ClaimLogActions out;
  UpdateRetentionLimits(aNow);
  // The attempt has ended and needs no answer. Recording its claim now would
  // only block the key.
  mClaims.RemoveIf([&aHolder](const WaitingClaim& aIt) {
    return aIt.mCall.mHolder == aHolder;
  });
  Queue(ReleasedRecord{ aKey, std::move(aHolder) });
  ProcessQueues(aNow, out);
  return out;
}

ClaimLogActions ClaimLog::OnQueryAnswer(ClaimQueryAnswer aAnswer,
                                        const Now& aNow)
{
  ClaimLogActions out;
  UpdateRetentionLimits(aNow);
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
  ProcessQueues(aNow, out);
  return out;
}

ClaimLogActions ClaimLog::OnResult(PlatformResult aResult, const Now& aNow)
{
  ClaimLogActions out;
  UpdateRetentionLimits(aNow);
  mChain.OnResult(std::move(aResult), aNow.mTime, out);
  ProcessQueues(aNow, out);
  return out;
}

ClaimLogActions ClaimLog::OnTick(const Now& aNow)
{
  ClaimLogActions out;
  UpdateRetentionLimits(aNow);
  mChain.OnTick(aNow.mTime, out);
  RemoveExpired(aNow, out);
  ProcessQueues(aNow, out);
  return out;
}

void ClaimLog::UpdateRetentionLimits(const Now& aNow)
{
  // mRetainedSince never decreases, so that keys whose records may have been
  // removed stay refused when the wall clock is set back.
  const Retention& retention = mSettings.mRetention;
  mRetainedSince =
    std::max(mRetainedSince, retention.RetainedSince(aNow.mWall));
  mAcceptedSince =
    std::max(retention.AcceptedSince(aNow.mWall), mRetainedSince);
  mChain.SetRetainedSince(mRetainedSince);
}

void ClaimLog::Queue(ClaimRecord aRecord)
{
  if (IsStorable(aRecord)) {
    mRecords.Add({ std::move(aRecord), mChain.LastStarted() });
  }
}

void ClaimLog::ProcessQueues(const Now& aNow, ClaimLogActions& aOut)
{
  AnswerClaims(aNow, aOut);
  UpdateWaitingRecords(aOut);
  StartOperation(aNow, aOut);
}

void ClaimLog::AnswerClaims(const Now& aNow, ClaimLogActions& aOut)
{
  mClaims.RemoveIf([this, &aNow, &aOut](WaitingClaim& aIt) {
    auto verdict = DecideClaim(aIt, aNow, aOut);
    if (!verdict && IsOverdue(aIt, aNow)) {
      verdict = ClaimVerdict::Unavailable;
    }
    if (verdict) {
      Reply(aIt, *verdict, aOut);
    }
    return verdict.has_value();
  });
}

void ClaimLog::UpdateWaitingRecords(ClaimLogActions& aOut)
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
    // A record whose attempt doesn't hold the key is dropped only after a later
    // read: another host may have recorded the claim since the last one.
    return !isHeld && IsConfirmedSince(aIt.mOperationAtArrival);
  });
}

std::optional<ClaimVerdict> ClaimLog::DecideClaim(WaitingClaim& aClaim,
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
  return view ? DecideHeldKey(aClaim, *view, aNow, aOut)
              : DecideFreeKey(aClaim);
}

std::optional<ClaimVerdict> ClaimLog::DecideFreeKey(WaitingClaim& aClaim) const
{
  if (mIndex.Size() >= mSettings.mMaxKeys) {
    return ClaimVerdict::Unavailable;
  }
  aClaim.mIsAppendable = true;
  return std::nullopt;
}

std::optional<ClaimVerdict> ClaimLog::DecideHeldKey(WaitingClaim& aClaim,
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
    aClaim.mAskedAt = aNow.mTime;
    aOut.emplace_back(SendClaimQuery{ aView.mHolder, aClaim.mCall.mKey });
  }
  // Another host may have recorded an outcome or a release since the chain was
  // last read.
  if (!IsConfirmedSince(aClaim.mOperationAtArrival)) {
    aClaim.mNeedsRefresh = true;
    return std::nullopt;
  }
  const bool isSilent = aClaim.mQuery == QueryProgress::Asked &&
                        aNow.mTime - aClaim.mAskedAt >= mSettings.mQueryTimeout;
  if (aClaim.mQuery == QueryProgress::NotKnown || isSilent) {
    return isMatch ? ClaimVerdict::NotKnown : ClaimVerdict::Mismatch;
  }
  return std::nullopt;
}

bool ClaimLog::IsOverdue(const WaitingClaim& aClaim, const Now& aNow) const
{
  // If the platform has been failing for longer than the maximum wait, the
  // claim is refused without waiting.
  const auto failing = mChain.FailingSince();
  return aNow.mTime - aClaim.mArrivedAt >= mSettings.mMaxClaimWait ||
         (failing && aNow.mTime - *failing >= mSettings.mMaxClaimWait);
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

bool ClaimLog::IsConfirmedSince(OperationNumber aOperation) const
{
  return mChain.LastConfirmed() > aOperation;
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

void ClaimLog::RemoveExpired(const Now& aNow, ClaimLogActions& aOut)
{
  if (aNow.mTime < mNextCleanup) {
    return;
  }
  mIndex.RemoveOlderThan(mRetainedSince);
  const bool isDeleting = mChain.DeleteOldest(aOut);
  // Only one segment is deleted at a time, so the next cleanup follows sooner
  // while expired segments remain.
  mNextCleanup =
    aNow.mTime + (isDeleting ? kDeleteInterval : mSettings.mCleanupInterval);
}

} // namespace auburnmux::idempotency
