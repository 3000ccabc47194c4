#pragma once

#include "base/Base.h"

#include <vector>

namespace auburnmux::limits {

/** One request in flight at an upstream. */
struct RunningRequest
{
  base::AttemptId mAttempt;
  base::TimePoint mStart;
  /** Cancelling it can't lose or repeat work. */
  bool mCancellable = false;
};

/** What to do about the requests in flight at one upstream. */
struct StragglerDecision
{
  /** Attempts to cancel, longest in flight first. */
  std::vector<base::AttemptId> mCancel;
  /** Stragglers that remain. */
  base::SlotCount mRemaining;
  /** More than the bound remain, because they can't be cancelled. */
  bool mExceeded = false;
};

/**
 * Keeps requests that have been in flight longer than 8 times the median from
 * holding more than half of this host's share of an upstream (one slot of a
 * share of one).
 */
class StragglerBound
{
public:
  static constexpr int kMedianMultiple = 8;

  /** \returns the bound on stragglers for \a aShare. */
  static base::SlotCount Bound(base::SlotCount aShare);
  /** \param aMedian recent median latency; zero when it is not known. */
  static StragglerDecision Decide(base::TimePoint aNow, base::Duration aMedian,
                                  base::SlotCount aShare,
                                  const std::vector<RunningRequest>& aRunning);
};

} // namespace auburnmux::limits
