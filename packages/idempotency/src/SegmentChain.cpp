#include "idempotency/src/SegmentChain.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "idempotency/src/SegmentCodec.h"
#include "idempotency/src/SegmentRun.h"

namespace auburnmux::idempotency {

SegmentChain::SegmentChain(ClaimIndex& aIndex, base::ByteCount aSealAt,
                           std::uint64_t aSeed)
  : mIndex(aIndex)
  , mSealAt(aSealAt)
  , mRandom(aSeed)
  , mCalls(mRandom)
{
}

void SegmentChain::Refresh(base::TimePoint aNow, ClaimLogActions& aOut)
{
  assert(IsIdle());
  StartOperation(Phase::Reading);
  ReadFromTail(aNow, aOut);
}

void SegmentChain::Append(std::vector<ClaimRecord> aRecords,
                          ClaimLogActions& aOut)
{
  assert(IsIdle() && !aRecords.empty());
  StartOperation(Phase::Writing);
  const BatchId id(mRandom.Next());
  mStaged = mTail.Stage({ id, std::move(aRecords) }, mSealAt);
  mStaged->mCall = mCalls.Next();
  aOut.emplace_back(WriteSegment{ mStaged->mCall, mTail.Number(),
                                  mTail.Version(), mStaged->mBytes });
  ++mCounts.mWrites;
}

void SegmentChain::OnResult(PlatformResult aResult, base::TimePoint aNow,
                            ClaimLogActions& aOut)
{
  std::visit(
    [this, aNow, &aOut](auto&& aIt) {
      On(std::forward<decltype(aIt)>(aIt), aNow, aOut);
    },
    std::move(aResult));
}

void SegmentChain::On(const ListResult& aResult, base::TimePoint aNow,
                      ClaimLogActions& aOut)
{
  if (aResult.mCall != mListCall || mListCall == CallNumber(0)) {
    return;
  }
  mListCall = CallNumber(0);
  const bool isAnswered = aResult.mStatus == CallStatus::Done;
  TrackCallFailures(isAnswered, aNow);
  if (!isAnswered) {
    mListDue = aNow + mListDelay.Next(mRandom);
    return;
  }
  mListDelay.Reset();
  const bool isLast =
    std::all_of(aResult.mSegments.begin(), aResult.mSegments.end(),
                [this](SegmentNumber aIt) { return aIt <= mTail.Number(); });
  if (mPhase != Phase::Verifying || !isLast) {
    BeginLoad(aResult);
    ContinueReading(aNow, aOut);
  } else if (mStaged && mStaged->mVersion != kAbsent) {
    Commit();
  } else {
    FinishOperation();
  }
}

void SegmentChain::On(ReadResult aResult, base::TimePoint aNow,
                      ClaimLogActions& aOut)
{
  if (mPhase != Phase::Reading) {
    return;
  }
  const bool isFailure = aResult.mStatus == CallStatus::Unknown;
  if (mReader.Accept(std::move(aResult), aNow, mRandom) || isFailure) {
    TrackCallFailures(!isFailure, aNow);
  }
  ContinueReading(aNow, aOut);
}

void SegmentChain::On(const WriteResult& aResult, base::TimePoint aNow,
                      ClaimLogActions& aOut)
{
  if (mPhase != Phase::Writing || !mStaged || aResult.mCall != mStaged->mCall) {
    return;
  }
  TrackCallFailures(aResult.mStatus != CallStatus::Unknown, aNow);
  switch (aResult.mStatus) {
    case CallStatus::Done:
      mStaged->mVersion = aResult.mVersion;
      !mTail.Exists() ? Verify(aOut) : Commit();
      return;
    case CallStatus::NotFound:
      Reload(aOut);
      return;
    case CallStatus::Conflict:
      ++mCounts.mConflicts;
      break;
    case CallStatus::Unknown:
      ++mCounts.mUnknownWrites;
      break;
  }
  mPhase = Phase::Reading;
  ReadFromTail(aNow, aOut);
}

void SegmentChain::On(const DeleteResult& aResult, base::TimePoint /*aNow*/,
                      ClaimLogActions& /*aOut*/)
{
  if (aResult.mCall != mDeleteCall || mDeleteCall == CallNumber(0)) {
    return;
  }
  mDeleteCall = CallNumber(0);
  const bool isGone = aResult.mStatus == CallStatus::Done ||
                      aResult.mStatus == CallStatus::NotFound;
  if (isGone && !mSealed.empty()) {
    mSealed.pop_front();
  }
}

void SegmentChain::OnTick(base::TimePoint aNow, ClaimLogActions& aOut)
{
  if (mPhase == Phase::Start) {
    StartOperation(Phase::Listing);
    Reload(aOut);
  } else if (mListDue && *mListDue <= aNow) {
    SendList(aOut);
  } else if (mPhase == Phase::Reading) {
    mReader.Send(aNow, mCalls, aOut);
  }
}

bool SegmentChain::DeleteOldest(ClaimLogActions& aOut)
{
  if (!IsIdle() || mDeleteCall != CallNumber(0) || mSealed.empty() ||
      !mTail.Exists() || mSealed.front().mNewestKey >= mRetainedSince) {
    return false;
  }
  mDeleteCall = mCalls.Next();
  aOut.emplace_back(DeleteSegment{ mDeleteCall, mSealed.front().mNumber });
  return true;
}

void SegmentChain::StartOperation(Phase aPhase)
{
  mPhase = aPhase;
  mLastStarted += OperationNumber(1);
}

void SegmentChain::FinishOperation()
{
  mPhase = Phase::Idle;
  mIsLoaded = true;
  mLastConfirmed = mLastStarted;
  mStaged.reset();
}

void SegmentChain::SendList(ClaimLogActions& aOut)
{
  mListDue.reset();
  mListCall = mCalls.Next();
  aOut.emplace_back(ListSegments{ mListCall });
}

void SegmentChain::Reload(ClaimLogActions& aOut)
{
  mPhase = Phase::Listing;
  mIsLoaded = false;
  SendList(aOut);
}

void SegmentChain::Verify(ClaimLogActions& aOut)
{
  mPhase = Phase::Verifying;
  SendList(aOut);
}

void SegmentChain::BeginLoad(const ListResult& aResult)
{
  ++mCounts.mLoads;
  mPhase = Phase::Reading;
  mIsLoaded = false;
  mIndex.Clear();
  mSealed.clear();
  // Ignore the result of a delete in flight: it refers to the list of sealed
  // segments that was just cleared.
  mDeleteCall = CallNumber(0);
  if (mStaged) {
    mStaged->mVersion = kAbsent;
  }
  const auto run = LastRun(aResult.mSegments);
  mTail = SegmentTail(run ? run->mFirst : SegmentNumber(0));
  if (run) {
    mHighestListed = run->mLast;
    mReader.Begin(run->mFirst, run->mLast);
  } else {
    FinishOperation();
  }
}

void SegmentChain::ReadFromTail(base::TimePoint aNow, ClaimLogActions& aOut)
{
  mHighestListed = mTail.Number();
  mReader.Begin(mTail.Number(), mTail.Number());
  mReader.Send(aNow, mCalls, aOut);
}

void SegmentChain::ContinueReading(base::TimePoint aNow, ClaimLogActions& aOut)
{
  while (mPhase == Phase::Reading) {
    auto value = mReader.Take();
    if (!value) {
      mReader.Send(aNow, mCalls, aOut);
      return;
    }
    Consume(std::move(*value), aNow, aOut);
  }
}

void SegmentChain::Consume(SegmentValue aValue, base::TimePoint aNow,
                           ClaimLogActions& aOut)
{
  const bool isLast = aValue.mNumber >= mHighestListed;
  if (aValue.mVersion == kAbsent) {
    const bool isBeyondList = aValue.mNumber > mHighestListed;
    const bool isEnd = !mTail.Exists() && (mIsLoaded || isBeyondList);
    isEnd ? FinishOperation() : Reload(aOut);
    return;
  }
  const auto segment = DecodeSegment(aValue.mBytes);
  if (!segment) {
    // Retry, as the segment may become readable. No claim can be granted safely
    // without its records.
    ++mCounts.mUnreadableSegments;
    TrackCallFailures(false, aNow);
    mReader.Retry(aValue.mNumber, aNow, mRandom);
  } else if (!mTail.IsPrefixOf(aValue.mBytes)) {
    Reload(aOut);
  } else if (segment->mIsSealed) {
    ApplyNewBatches(std::move(aValue), *segment);
    AdvanceTail();
    if (isLast) {
      mReader.Extend();
    }
  } else if (!isLast) {
    SkipDelayedCreation();
  } else {
    const bool isNew = !mTail.Exists();
    ApplyNewBatches(std::move(aValue), *segment);
    if (isNew) {
      // The index isn't used for answers until the segment is verified.
      mIsLoaded = false;
      Verify(aOut);
    } else {
      FinishOperation();
    }
  }
}

void SegmentChain::SkipDelayedCreation()
{
  // A delayed write created this segment after its number and all lower ones
  // had been deleted. None of its claims was ever granted.
  mIndex.Clear();
  AdvanceTail();
  mSealed.clear();
}

void SegmentChain::ApplyNewBatches(SegmentValue aValue,
                                   const ClaimSegment& aSegment)
{
  const std::size_t count = aSegment.mBatches.size();
  for (std::size_t it = mTail.BatchCount(); it < count; ++it) {
    const ClaimBatch& batch = aSegment.mBatches[it];
    if (mStaged && batch.mId == mStaged->mBatch.mId) {
      ++mCounts.mOwnBatchesFound;
    }
    ApplyBatch(batch);
  }
  mTail.Set(aValue.mVersion, std::move(aValue.mBytes), count);
}

void SegmentChain::Commit()
{
  ApplyBatch(mStaged->mBatch);
  mTail.Set(mStaged->mVersion, std::move(mStaged->mBytes),
            mTail.BatchCount() + 1);
  if (mStaged->mIsSealing) {
    AdvanceTail();
  }
  FinishOperation();
}

void SegmentChain::ApplyBatch(const ClaimBatch& aBatch)
{
  for (const ClaimRecord& it : aBatch.mRecords) {
    mTail.TrackNewestKey(KeyOf(it).Time());
    mIndex.Apply(it, mRetainedSince);
  }
}

void SegmentChain::AdvanceTail()
{
  mSealed.push_back({ mTail.Number(), mTail.NewestKey() });
  mTail = SegmentTail(mTail.Number() + SegmentNumber(1));
}

void SegmentChain::TrackCallFailures(bool aIsAnswered, base::TimePoint aNow)
{
  if (aIsAnswered) {
    mFailingSince.reset();
  } else if (!mFailingSince) {
    mFailingSince = aNow;
  }
}

} // namespace auburnmux::idempotency
