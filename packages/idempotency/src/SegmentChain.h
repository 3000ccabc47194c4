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

/** Event counters of a chain, for the metrics. */
struct ChainCounts
{
  std::uint64_t mWrites = 0;
  std::uint64_t mConflicts = 0;
  std::uint64_t mUnknownWrites = 0;
  /** Writes with an unknown or conflicting result whose batch was later found
   * in the segment. */
  std::uint64_t mOwnBatchesFound = 0;
  std::uint64_t mUnreadableSegments = 0;
  std::uint64_t mLoads = 0;
};

/**
 * One host's view of the chain of segments of one partition. It runs one
 * operation at a time (load, refresh or append) and applies only durable
 * records to the index.
 *
 * Three rules make an append safe:
 * - A write is conditional on the version that was read, so that it fails if
 *   another host wrote in between.
 * - After a conflict or an unknown result, the chain is read again before the
 *   next write.
 * - A last segment that this host created, or reads for the first time, is used
 *   only after a later listing shows that it is the last. The write that
 * creates a segment may be delayed until other hosts have used and deleted a
 * segment of the same number, and would then succeed although the chain has
 * moved on.
 */
class SegmentChain
{
public:
  /** \a aSealAt is the size at which a segment is sealed. */
  SegmentChain(ClaimIndex& aIndex, base::ByteCount aSealAt,
               std::uint64_t aSeed);

  /** Whether the whole chain has been read into the index. The index may lack
   * records that other hosts appended since. */
  bool IsLoaded() const { return mIsLoaded; }
  /** Whether the next operation may start. */
  bool IsIdle() const { return mPhase == Phase::Idle; }
  /** \returns the operation that started last. */
  OperationNumber LastStarted() const { return mLastStarted; }
  /** \returns the latest operation that confirmed that the index reflected the
   * whole chain at some time after the operation started. */
  OperationNumber LastConfirmed() const { return mLastConfirmed; }
  /** \returns the time since which all calls have failed, or nothing if the
   * latest call succeeded. */
  std::optional<base::TimePoint> FailingSince() const { return mFailingSince; }
  const ChainCounts& Counts() const { return mCounts; }

  /** Sets the key time before which records are left out of the index. */
  void SetRetainedSince(base::WallTime aSince) { mRetainedSince = aSince; }

  /** Starts to read the records that other hosts appended. \pre IsIdle() */
  void Refresh(base::TimePoint aNow, ClaimLogActions& aOut);
  /** Starts to append \a aRecords as one batch.
   * \pre IsIdle() and \a aRecords isn't empty */
  void Append(std::vector<ClaimRecord> aRecords, ClaimLogActions& aOut);

  /** Handles a result; a result that matches no pending call is ignored. */
  void OnResult(PlatformResult aResult, base::TimePoint aNow,
                ClaimLogActions& aOut);
  /** Starts the load on the first tick, and retries calls that are due. */
  void OnTick(base::TimePoint aNow, ClaimLogActions& aOut);

  /** Deletes the oldest segment if it is sealed and all of its keys are older
   * than the retained time. At most one delete is in flight.
   * \returns whether a delete was sent. */
  bool DeleteOldest(ClaimLogActions& aOut);

private:
  enum class Phase
  {
    Start,
    Listing,
    Reading,
    Idle,
    Writing,
    /** Waits for a listing to show that the new segment is the last one. */
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
  void ApplyNewBatches(SegmentValue aValue, const ClaimSegment& aSegment);
  void Commit();
  void ApplyBatch(const ClaimBatch& aBatch);
  void AdvanceTail();
  void TrackCallFailures(bool aIsAnswered, base::TimePoint aNow);

  ClaimIndex& mIndex;
  base::ByteCount mSealAt;
  base::Random mRandom;
  CallCounter mCalls;
  ChainReader mReader;
  RetryDelay mListDelay;
  Phase mPhase = Phase::Start;
  bool mIsLoaded = false;
  OperationNumber mLastStarted;
  OperationNumber mLastConfirmed;
  SegmentTail mTail;
  std::deque<SealedSegment> mSealed;
  std::optional<StagedWrite> mStaged;
  CallNumber mListCall;
  std::optional<base::TimePoint> mListDue;
  CallNumber mDeleteCall;
  SegmentNumber mHighestListed;
  base::WallTime mRetainedSince{};
  std::optional<base::TimePoint> mFailingSince;
  ChainCounts mCounts;
};

} // namespace auburnmux::idempotency
