#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

#include "base/Base.h"
#include "idempotency/src/ChainReader.h"
#include "idempotency/src/ClaimIndex.h"
#include "idempotency/src/ClaimLogAction.h"
#include "idempotency/src/ClaimRecord.h"
#include "idempotency/src/SegmentTail.h"

namespace auburnmux::idempotency {

/** Number of an operation on a chain; a higher one started later. */
using OperationNumber = base::Quantity<struct OperationNumberTag>;

/** Events of a chain that are counted for the metrics. */
struct ChainCounts
{
  std::uint64_t mWrites = 0;
  std::uint64_t mConflicts = 0;
  std::uint64_t mUnknownWrites = 0;
  /** Writes of an unknown or conflicting result whose batch id was read. */
  std::uint64_t mOwnBatchesFound = 0;
  std::uint64_t mUnreadableSegments = 0;
  std::uint64_t mLoads = 0;
};

/**
 * The chain of segments of one partition as one host sees it. It runs one
 * operation at a time (load, refresh or append) and applies to the index only
 * records that are durable.
 *
 * Three rules make an append safe. A write carries the version that was read,
 * so that it fails if another host wrote in between. After a conflict or an
 * unknown result the chain is read again before the next write. A segment that
 * was created, or met as the last one, is used only after a later listing shows
 * it as the last: a creation may be delayed until its number, used and deleted
 * by others, is free again.
 */
class SegmentChain
{
public:
  /** A segment that reaches \a aSealAt is sealed. */
  SegmentChain(ClaimIndex& aIndex, base::ByteCount aSealAt,
               std::uint64_t aSeed);

  /** Whether the index reflects the whole chain as of some moment. */
  bool IsLoaded() const { return mIsLoaded; }
  /** Whether the next operation may start. */
  bool IsIdle() const { return mPhase == Phase::Idle; }
  /** The operation started last. */
  OperationNumber Started() const { return mStarted; }
  /** The latest operation that proved the index current when it ran. */
  OperationNumber Proven() const { return mProven; }
  /** Since when every call has failed, if the latest has. */
  std::optional<base::TimePoint> FailingSince() const { return mFailingSince; }
  const ChainCounts& Counts() const { return mCounts; }

  /** Sets the key time below which records are left out of the index. */
  void SetRememberedSince(base::WallTime aSince) { mRememberedSince = aSince; }

  /** Starts to read what others appended. \pre IsIdle() */
  void Refresh(base::TimePoint aNow, ClaimLogActions& aOut);
  /** Starts to append. \pre IsIdle() and \a aRecords isn't empty */
  void Append(std::vector<ClaimRecord> aRecords, ClaimLogActions& aOut);

  /** Takes a result; one that nothing waits for is ignored. */
  void OnResult(PlatformResult aResult, base::TimePoint aNow,
                ClaimLogActions& aOut);
  /** Starts the load at the first call, and repeats calls that are due. */
  void OnTick(base::TimePoint aNow, ClaimLogActions& aOut);

  /** Deletes the oldest segment if it is sealed and no key in it is as new as
   * the remembered time; one delete in flight. \returns whether one was sent.
   */
  bool DeleteOldest(ClaimLogActions& aOut);

private:
  enum class Phase
  {
    Start,
    Listing,
    Reading,
    Idle,
    Writing,
    /** The last segment is new; a listing must show that it is the last. */
    Verifying,
  };

  struct SealedSegment
  {
    SegmentNumber mNumber;
    base::WallTime mNewestKey;
  };

  void On(const ListResult& aResult, base::TimePoint aNow,
          ClaimLogActions& aOut);
  void On(ReadResult aResult, base::TimePoint aNow, ClaimLogActions& aOut);
  void On(const WriteResult& aResult, base::TimePoint aNow,
          ClaimLogActions& aOut);
  void On(const DeleteResult& aResult, base::TimePoint aNow,
          ClaimLogActions& aOut);
  void StartOperation(Phase aPhase);
  void FinishOperation();
  void SendList(ClaimLogActions& aOut);
  void Reload(ClaimLogActions& aOut);
  void Verify(ClaimLogActions& aOut);
  void BeginLoad(const ListResult& aResult);
  void ReadFromTail(base::TimePoint aNow, ClaimLogActions& aOut);
  void ContinueReading(base::TimePoint aNow, ClaimLogActions& aOut);
  void Consume(SegmentValue aValue, base::TimePoint aNow,
               ClaimLogActions& aOut);
  void SkipDelayedCreation();
  void TakeOver(SegmentValue aValue, const ClaimSegment& aSegment);
  void Commit();
  void ApplyBatch(const ClaimBatch& aBatch);
  void AdvanceTail();
  void NoteAnswer(bool aIsAnswered, base::TimePoint aNow);

  ClaimIndex& mIndex;
  base::ByteCount mSealAt;
  base::Random mRandom;
  CallCounter mCalls;
  ChainReader mReader;
  RetryDelay mListDelay;
  Phase mPhase = Phase::Start;
  bool mIsLoaded = false;
  OperationNumber mStarted;
  OperationNumber mProven;
  SegmentTail mTail;
  std::deque<SealedSegment> mSealed;
  std::optional<StagedWrite> mStaged;
  CallNumber mListCall;
  std::optional<base::TimePoint> mListDue;
  CallNumber mDeleteCall;
  SegmentNumber mHighestListed;
  base::WallTime mRememberedSince{};
  std::optional<base::TimePoint> mFailingSince;
  ChainCounts mCounts;
};

} // namespace auburnmux::idempotency
