#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

#include "base/Base.h"
#include "idempotency/src/ClaimLogAction.h"
#include "idempotency/src/RetryDelay.h"

namespace auburnmux::idempotency {

/**
 * Numbers the platform calls of one log, starting at a random number. A late
 * result of an earlier log of the same partition on this host then matches no
 * call of this log.
 */
class CallCounter
{
public:
  explicit CallCounter(base::Random& aRandom)
    : mLast(aRandom.Next())
  {
  }

  CallNumber Next()
  {
    mLast += CallNumber(1);
    return mLast;
  }

private:
  CallNumber mLast;
};

/** The result of reading a segment; its version is kAbsent if the segment
 * doesn't exist. */
struct SegmentValue
{
  SegmentNumber mNumber;
  base::ObjectVersion mVersion;
  std::string mBytes;
};

/**
 * Reads consecutive segments with several reads in flight and returns them in
 * order. A failed read is retried after a delay.
 */
class ChainReader
{
public:
  /** Maximum number of segments that are being read or wait for Take. */
  static constexpr std::size_t kWindow = 4;

  /** Discards all reads and starts reading from \a aFirst to \a aLast. */
  void Begin(SegmentNumber aFirst, SegmentNumber aLast);
  /** Extends the range to be read by one segment. */
  void Extend();

  /** Sends the reads whose retry delay has passed, up to the window. */
  void Send(base::TimePoint aNow, CallCounter& aCalls, ClaimLogActions& aOut);

  /** Handles a read result; a result that matches no pending read is ignored.
   * \returns whether it matched a pending read and the platform answered. */
  bool Accept(ReadResult aResult, base::TimePoint aNow, base::Random& aRandom);

  /** Removes and \returns the next segment in order, or nothing while its read
   * is pending. */
  std::optional<SegmentValue> Take();

  /** Reads the segment that Take returned last again, after a retry delay. */
  void Retry(SegmentNumber aNumber, base::TimePoint aNow,
             base::Random& aRandom);

private:
  struct Slot
  {
    SegmentNumber mNumber;
    base::TimePoint mDue{};
    /** The call number of the read in flight, or 0. */
    CallNumber mCall;
    std::optional<SegmentValue> mValue;
  };

  void Fill();

  std::deque<Slot> mSlots;
  SegmentNumber mNext;
  SegmentNumber mLast;
  RetryDelay mDelay;
};

} // namespace auburnmux::idempotency
