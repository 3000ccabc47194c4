#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/Base.h"
#include "idempotency/src/ClaimIndex.h"
#include "idempotency/src/ClaimLogAction.h"
#include "idempotency/src/ClaimQueue.h"
#include "idempotency/src/RecordQueue.h"
#include "idempotency/src/Retention.h"
#include "idempotency/src/SegmentChain.h"
#include "idempotency/src/SegmentCodec.h"
#include "idempotency/src/TokenBucket.h"

namespace auburnmux::idempotency {

struct ClaimLogSettings
{
  Retention mRetention;
  /** Rate limit, in operations per second, for appends and refreshes of the
   * chain, and the burst that it allows. */
  double mCallsPerSecond = 12.0;
  double mCallBurst = 4.0;
  /** A claim without a verdict after this time is answered Unavailable. */
  base::Duration mMaxClaimWait = std::chrono::seconds(1);
  /** How long to wait for the answer of a key's holder to a query. */
  base::Duration mQueryTimeout = std::chrono::milliseconds(300);
  /** Maximum number of keys in memory; at this number, claims of new keys are
   * answered Unavailable. */
  std::size_t mMaxKeys = 200000;
  /** Maximum size of all outcome bodies in memory. */
  base::ByteCount mBodyBudget{ std::uint64_t{ 4 } * 1024 * 1024 };
  /** Size at which a segment is sealed. At most kSealAtBytes. */
  base::ByteCount mSealAt{ kSealAtBytes };
  /** Time between two removals of expired keys and segments. */
  base::Duration mCleanupInterval = std::chrono::minutes(1);
};

/**
 * Answers the claims of one partition on one host. Several hosts may run a log
 * for the same partition; conditional writes to the object store ensure that
 * only one of them can record a claim for a key.
 *
 * A claim is granted only if the durable chain shows that its attempt holds the
 * key, no matter which host appended the record. A key is free if no durable
 * record says that an attempt holds it. It is then claimed by an append that
 * fails if the chain has changed in the meantime.
 *
 * The user of this class must pass exactly one result for each platform call
 * and call OnTick at least every 50 ms.
 */
class ClaimLog
{
public:
  /** \a aSeed must differ from the seed of every other log on any host. */
  ClaimLog(ClaimLogSettings aSettings, std::uint64_t aSeed);
  ClaimLog(const ClaimLog&) = delete;
  ClaimLog& operator=(const ClaimLog&) = delete;

  ClaimLogActions OnClaim(ClaimCall aCall, const Now& aNow);
  /** Records that the holder's request ran with \a aOutcome. */
  ClaimLogActions OnOutcome(const IdempotencyKey& aKey, ClaimHolder aHolder,
                            Outcome aOutcome, const Now& aNow);
  /** Records that the holder never dispatched and never will. */
  ClaimLogActions OnRelease(const IdempotencyKey& aKey, ClaimHolder aHolder,
                            const Now& aNow);
  ClaimLogActions OnQueryAnswer(ClaimQueryAnswer aAnswer, const Now& aNow);

  ClaimLogActions OnResult(PlatformResult aResult, const Now& aNow);
  ClaimLogActions OnTick(const Now& aNow);

  /** Whether the whole chain has been read. */
  bool IsLoaded() const { return mChain.IsLoaded(); }
  /** Number of keys in memory. */
  std::size_t KeyCount() const { return mIndex.Size(); }
  /** Number of claims that wait for an answer. */
  std::size_t WaitingCount() const { return mClaims.Size(); }
  const ChainCounts& Counts() const { return mChain.Counts(); }

private:
  void UpdateRetentionLimits(const Now& aNow);
  void Queue(ClaimRecord aRecord);
  void ProcessQueues(const Now& aNow, ClaimLogActions& aOut);
  void AnswerClaims(const Now& aNow, ClaimLogActions& aOut);
  void UpdateWaitingRecords(ClaimLogActions& aOut);
  std::optional<ClaimVerdict> DecideClaim(WaitingClaim& aClaim, const Now& aNow,
                                          ClaimLogActions& aOut);
  std::optional<ClaimVerdict> DecideFreeKey(WaitingClaim& aClaim) const;
  std::optional<ClaimVerdict> DecideHeldKey(WaitingClaim& aClaim,
                                            const ClaimView& aView,
                                            const Now& aNow,
                                            ClaimLogActions& aOut);
  bool IsOverdue(const WaitingClaim& aClaim, const Now& aNow) const;
  void Reply(const WaitingClaim& aClaim, ClaimVerdict aVerdict,
             ClaimLogActions& aOut) const;
  bool IsConfirmedSince(OperationNumber aOperation) const;
  void StartOperation(const Now& aNow, ClaimLogActions& aOut);
  std::vector<ClaimRecord> NextBatch() const;
  bool NeedsRefresh() const;
  void RemoveExpired(const Now& aNow, ClaimLogActions& aOut);

  ClaimLogSettings mSettings;
  ClaimIndex mIndex;
  SegmentChain mChain;
  ClaimQueue mClaims;
  RecordQueue mRecords;
  TokenBucket mTokens;
  base::WallTime mAcceptedSince{};
  base::WallTime mRetainedSince{};
  base::TimePoint mNextCleanup{};
};

} // namespace auburnmux::idempotency
