#pragma once

#include "base/Base.h"

#include <deque>

namespace auburnmux::carriage {

/** Limits on the retries that all hosts together send in any window. */
struct WindowedRetryBudgetSettings
{
  /** Retries allowed per request. */
  double mRatio = 0.1;
  /** Retries allowed in addition to the ratio. */
  double mBurst = 10;
  base::Duration mWindow = std::chrono::seconds(10);
  /** Fraction of the ratio and the burst that is used. The rest is a reserve
   * for hosts that haven't discovered one another yet. */
  double mUsableFraction = 0.85;
};

/**
 * Retry budget of one service: bounds the retries in every sliding window,
 * summed over all hosts. Each host may use the ratio of its own requests and an
 * equal part of the burst.
 */
class WindowedRetryBudget
{
public:
  explicit WindowedRetryBudget(const WindowedRetryBudgetSettings& aSettings);

  /** Counts a caller's request. */
  void OnRequest(base::TimePoint aNow);
  /** \returns whether a retry is allowed, and counts it if so.
   * \param aHosts hosts that share the budget, this one included
   * \param aFraction fraction of the budget up to which this retry may spend;
   * less important retries leave the rest to others */
  bool TrySpend(base::TimePoint aNow, std::size_t aHosts, double aFraction = 1);

private:
  /** Counts of one tenth of a window. */
  struct Slice
  {
    base::TimePoint mStart;
    std::uint64_t mRequests = 0;
    std::uint64_t mRetries = 0;
  };

  /** \returns the slice of \a aNow; removes expired slices. */
  Slice& CurrentSlice(base::TimePoint aNow);

  WindowedRetryBudgetSettings mSettings;
  std::deque<Slice> mSlices;
};

} // namespace auburnmux::carriage
