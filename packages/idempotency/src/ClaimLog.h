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
  /** Writes and refreshing reads a second, sustained and in a burst. */
  double mCallsPerSecond = 12.0;
  double mCallBurst = 4.0;
  /** A claim that isn't recorded within this time is refused. */
  base::Duration mLongestWait = std::chrono::seconds(1);
  /** How long the holder of a key has to answer a query. */
  base::Duration mQueryWait = std::chrono::milliseconds(300);
  /** Keys in memory; above it, new claims are refused. */
  std::size_t mMaxKeys = 200000;
  base::ByteCount mBodyBudget{ std::uint64_t{ 4 } * 1024 * 1024 };
  /** A segment of this size is sealed. At most kSealAtBytes. */
  base::ByteCount mSealAt{ kSealAtBytes };
  /** Time between two sweeps for old keys and segments. */
  base::Duration mForgetInterval = std::chrono::minutes(1);
};

/**
 * The claims of one partition as one host answers them. Several hosts may run
 * a log for the same partition: the conditional writes decide between them.
 *
 * A claim is granted only when the durable chain shows that its attempt holds
 * the key; how the record got there doesn't matter. A key is free only if no
 * durable record holds it, and is then claimed by an append that fails if the
 * chain has changed.
 *
 * The caller passes exactly one result for each platform call, and a tick at
 * least every 50 ms.
 */
class ClaimLog
{
public:
  /** \a aSeed must differ from that of any other log, here or elsewhere. */
  ClaimLog(ClaimLogSettings aSettings, std::uint64_t aSeed);
  ClaimLog(const ClaimLog&) = delete;
  ClaimLog& operator=(const ClaimLog&) = delete;

  ClaimLogActions OnClaim(ClaimCall aCall, const Now& aNow);
  /** The holder's request ran with \a aOutcome. */
  ClaimLogActions OnOutcome(const IdempotencyKey& aKey, ClaimHolder aHolder,
                            Outcome aOutcome, const Now& aNow);
  /** The holder never dispatched and never will. */
  ClaimLogActions OnRelease(const IdempotencyKey& aKey, ClaimHolder aHolder,
                            const Now& aNow);
  ClaimLogActions OnQueryAnswer(ClaimQueryAnswer aAnswer, const Now& aNow);

  ClaimLogActions OnResult(PlatformResult aResult, const Now& aNow);
  ClaimLogActions OnTick(const Now& aNow);

  /** Whether the whole chain has been read. */
  bool IsLoaded() const { return mChain.IsLoaded(); }
  /** Keys in memory. */
  std::size_t KeyCount() const { return mIndex.Size(); }
  /** Claims that wait for an answer. */
  std::size_t WaitingCount() const { return mClaims.Size(); }
  const ChainCounts& Counts() const { return mChain.Counts(); }

private:
  void NoteTime(const Now& aNow);
  void Queue(ClaimRecord aRecord);
  void Pump(const Now& aNow, ClaimLogActions& aOut);
  void AnswerClaims(const Now& aNow, ClaimLogActions& aOut);
  void SettleRecords(ClaimLogActions& aOut);
  std::optional<ClaimVerdict> Judge(WaitingClaim& aClaim, const Now& aNow,
                                    ClaimLogActions& aOut);
  std::optional<ClaimVerdict> JudgeFree(WaitingClaim& aClaim) const;
  std::optional<ClaimVerdict> JudgeHeld(WaitingClaim& aClaim,
                                        const ClaimView& aView, const Now& aNow,
                                        ClaimLogActions& aOut);
  bool IsOverdue(const WaitingClaim& aClaim, const Now& aNow) const;
  void Reply(const WaitingClaim& aClaim, ClaimVerdict aVerdict,
             ClaimLogActions& aOut) const;
  bool IsProvenSince(OperationNumber aArrival) const;
  void StartOperation(const Now& aNow, ClaimLogActions& aOut);
  std::vector<ClaimRecord> NextBatch() const;
  bool NeedsRefresh() const;
  void ForgetOld(const Now& aNow, ClaimLogActions& aOut);

  ClaimLogSettings mSettings;
  ClaimIndex mIndex;
  SegmentChain mChain;
  ClaimQueue mClaims;
  RecordQueue mRecords;
  TokenBucket mTokens;
  base::WallTime mAcceptedSince{};
  base::WallTime mRememberedSince{};
  base::TimePoint mForgetDue{};
};

} // namespace auburnmux::idempotency
