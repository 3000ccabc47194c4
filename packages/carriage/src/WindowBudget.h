#pragma once

#include "base/Base.h"

#include <deque>

namespace auburnmux::carriage {

/** How many repeats all hosts together may send in any window. */
struct WindowBudgetSettings
{
  /** Repeats for each request. */
  double mRatio = 0.1;
  /** Repeats that are allowed besides. */
  double mBurst = 10;
  base::Duration mWindow = std::chrono::seconds(10);
  /** Part of both that is used; the rest covers hosts that don't know of one
   * another yet. */
  double mShare = 0.85;
};

/**
 * Bounds the repeats of one service in every sliding window, summed over all
 * hosts: each host takes the ratio of its own requests and an equal part of
 * the burst.
 */
class WindowBudget
{
public:
  explicit WindowBudget(const WindowBudgetSettings& aSettings);

  /** Counts a caller's request. */
  void OnRequest(base::TimePoint aNow);
  /** \returns whether a repeat is allowed, and counts it if so.
   * \param aHosts hosts that share the budget, this one included
   * \param aPart part of the budget that this repeat may use up to; repeats
   * that matter less leave the rest to others */
  bool TrySpend(base::TimePoint aNow, std::size_t aHosts, double aPart = 1);

private:
  /** What happened in one tenth of a window. */
  struct Slice
  {
    base::TimePoint mStart;
    std::uint64_t mRequests = 0;
    std::uint64_t mRepeats = 0;
  };

  Slice& Current(base::TimePoint aNow);

  WindowBudgetSettings mSettings;
  std::deque<Slice> mSlices;
};

} // namespace auburnmux::carriage
