#pragma once

#include "base/Base.h"

#include <vector>

namespace auburnmux::limits {

/** One request in flight at an upstream. */
struct RunningRequest
{
  base::AttemptId mAttempt;
  base::TimePoint mStart;
  /** Cancelling the request can't lose or repeat work. */
  bool mCancellable = false;
};

/** Result of StragglerBound::Decide for one upstream. */
struct StragglerDecision
{
  /** Attempts to cancel, longest in flight first. */
  std::vector<base::AttemptId> mCancel;
  /** Number of stragglers that are not cancelled. */
  base::SlotCount mRemaining;
  /** The remaining stragglers exceed the bound because they can't be cancelled.
   */
  bool mExceeded = false;
};

/**
 * Prevents stragglers, requests in flight for longer than 8 times the median
 * latency, from occupying more than half of this host's share of an upstream.
 * With a share of one, they may occupy that slot.
 */
class StragglerBound
{
public:
  static constexpr int kMedianMultiple = 8;

  /** \returns the maximum number of stragglers for \a aShare. */
  static base::SlotCount Bound(base::SlotCount aShare);
  /** \param aMedian recent median latency; zero when it is not known. */
  static StragglerDecision Decide(base::TimePoint aNow, base::Duration aMedian,
                                  base::SlotCount aShare,
                                  const std::vector<RunningRequest>& aRunning);
};

} // namespace auburnmux::limits
