#pragma once

#include "base/Base.h"

#include <cstdint>

namespace auburnmux::retries {

/** How many extra attempts are allowed. */
struct BudgetSettings
{
  /** Extra attempts for each request. */
  double mFraction = 0.1;
  /** Extra attempts a second that are allowed at any request rate. */
  double mFloorPerSecond = 1;
};

/**
 * Bounds extra attempts to a fraction of requests, so that retries can't
 * multiply an overload. Credit is earned in each second as the larger of the
 * fraction of its requests and the floor; unused credit is kept for one
 * second's worth of it.
 */
class RetryBudget
{
public:
  explicit RetryBudget(BudgetSettings aSettings = {});

  /** Counts a first attempt. */
  void OnRequest(base::TimePoint aNow);
  /** \returns whether an extra attempt is allowed, and counts it if so. */
  bool TrySpend(base::TimePoint aNow);
  bool CanSpend(base::TimePoint aNow);

private:
  void Advance(base::TimePoint aNow);

  BudgetSettings mSettings;
  double mCredit = 0;
  /** Credit earned in the second that began at mSecond. */
  double mEarned = 0;
  /** The part of it that the fraction of requests gives. */
  double mFromRequests = 0;
  base::TimePoint mSecond{};
  bool mStarted = false;
};

} // namespace auburnmux::retries
