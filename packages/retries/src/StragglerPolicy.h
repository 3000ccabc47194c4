#pragma once

#include "retries/src/LatencyWindow.h"
#include "retries/src/RetryBudget.h"

#include <optional>

namespace auburnmux::retries {

/**
 * Decides when a repeatable attempt is a straggler, that is, runs many times
 * longer than other attempts, and should be replaced by a new one. It is meant
 * for work of which a few percent straggle at random: they finish late or
 * never, and hold slots that other requests wait for.
 *
 * An attempt is abandoned at the latest time at which a new one is still
 * expected to finish in time, provided that it has by then clearly exceeded the
 * typical time. Otherwise, as when no new attempt can finish in time, it has to
 * exceed the 95th percentile of recent attempts. Both thresholds scale with the
 * recent ratio of actual to estimated time, so an estimate that is wrong for
 * all attempts doesn't turn them into stragglers.
 */
class StragglerPolicy
{
public:
  /** \param aBudget the part of the allowed extra attempts that may replace
   * stragglers; the rest is left for retries of failed requests */
  explicit StragglerPolicy(BudgetSettings aBudget = { 0.08, 0 });

  void OnRequest(base::TimePoint aNow) { mBudget.OnRequest(aNow); }
  /** Records how long an attempt ran until it finished or was replaced. */
  void OnEnded(base::Duration aExpected, base::Duration aElapsed);

  /**
   * \returns the running time after which an attempt is a straggler; none until
   * there are enough samples, or when \a aExpected is too short.
   * \param aExpected estimated time of the attempt, and of a new one
   * \param aInTime time left until a response is no longer in time
   */
  std::optional<base::Duration> Threshold(base::Duration aExpected,
                                          base::Duration aInTime) const;
  /** \returns whether an attempt may be replaced now, and counts it if so. */
  bool TrySpend(base::TimePoint aNow) { return mBudget.TrySpend(aNow); }

private:
  /** Ratios of actual to estimated time; a ratio of 1 is stored as 1 s. */
  LatencyWindow mTimeRatios;
  RetryBudget mBudget;
};

} // namespace auburnmux::retries
