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
 * Numbers the calls of one log from a random start, so that a result meant for
 * an earlier log of the same partition on this host fits no call of this one.
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

/** A segment as read; its version is kAbsent if it doesn't exist. */
struct SegmentValue
{
  SegmentNumber mNumber;
  base::ObjectVersion mVersion;
  std::string mBytes;
};

/**
 * Reads a run of segments with several reads in flight and hands them out in
 * order. A read that fails is repeated after a delay.
 */
class ChainReader
{
public:
  /** Bounds the reads in flight and the segments held out of order. */
  static constexpr std::size_t kWindow = 4;

  /** Starts over with the segments from \a aFirst to \a aLast. */
  void Begin(SegmentNumber aFirst, SegmentNumber aLast);
  /** Adds the segment after the last one. */
  void Extend();

  /** Sends the reads that are due. */
  void Send(base::TimePoint aNow, CallCounter& aCalls, ClaimLogActions& aOut);

  /** Takes a result; one that no read waits for is ignored.
   * \returns whether it was taken and the platform answered. */
  bool Accept(ReadResult aResult, base::TimePoint aNow, base::Random& aRandom);

  /** \returns the next segment in order once it has arrived. */
  std::optional<SegmentValue> Take();

  /** Reads the segment that Take returned last again, after a delay. */
  void Repeat(SegmentNumber aNumber, base::TimePoint aNow,
              base::Random& aRandom);

private:
  struct Slot
  {
    SegmentNumber mNumber;
    base::TimePoint mDue{};
    /** 0 while no read is in flight. */
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
