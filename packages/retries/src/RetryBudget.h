#pragma once

#include "base/Base.h"

#include <cstdint>

namespace auburnmux::retries {

/** Bounds of a RetryBudget. */
struct BudgetSettings
{
  /** Extra attempts allowed per request. */
  double mFraction = 0.1;
  /** Extra attempts allowed per second, whatever the request rate. */
  double mFloorPerSecond = 1;
};

/**
 * Limits extra attempts to a fraction of requests, so that retries can't
 * amplify an overload. Each second earns as credit the larger of the floor and
 * the fraction of the second's requests. Unused credit carries over up to the
 * amount earned in the previous second, or one attempt if that is more.
 */
class RetryBudget
{
public:
  explicit RetryBudget(BudgetSettings aSettings = {});

  /** Counts a first attempt. */
  void OnRequest(base::TimePoint aNow);
  /** \returns whether an extra attempt is allowed, and spends credit if so. */
  bool TrySpend(base::TimePoint aNow);
  bool CanSpend(base::TimePoint aNow);

private:
  void Advance(base::TimePoint aNow);

  BudgetSettings mSettings;
  double mCredit = 0;
  /** Credit earned in the second that began at mSecond. */
  double mEarned = 0;
  /** Credit that the fraction alone gives for the requests of that second. */
  double mFromRequests = 0;
  base::TimePoint mSecond{};
  bool mStarted = false;
};

} // namespace auburnmux::retries
