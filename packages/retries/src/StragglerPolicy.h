#pragma once

#include "retries/src/LatencyWindow.h"
#include "retries/src/RetryBudget.h"

#include <optional>

namespace auburnmux::retries {

/**
 * When an attempt that may be repeated is taken for a straggler, a piece of
 * work that runs many times longer than the rest, and sent anew. The load it
 * answers is work of which a few percent straggle at random: they are late or
 * never done, and hold slots that others wait for.
 *
 * An attempt is given up at the last moment at which a new one can be expected
 * to be in time, if it has exceeded what is usual by then. One that can't be
 * in time any more has to exceed 95% of recent attempts. Both limits follow how
 * long recent attempts took in terms of their estimates, so that an estimate
 * that is wrong for all of them makes no stragglers.
 */
class StragglerPolicy
{
public:
  /** \param aBudget a part of the repeats that are allowed; the others are left
   * for requests that failed */
  explicit StragglerPolicy(BudgetSettings aBudget = { 0.08, 0 });

  void OnRequest(base::TimePoint aNow) { mBudget.OnRequest(aNow); }
  /** Takes how long an attempt took, or ran until it was sent anew. */
  void OnEnded(base::Duration aExpected, base::Duration aElapsed);

  /**
   * \returns the time after which an attempt is a straggler; none as long as
   * too few attempts are known.
   * \param aExpected estimate of the attempt, and of a new one
   * \param aInTime time left in which a response is of full use
   */
  std::optional<base::Duration> Limit(base::Duration aExpected,
                                      base::Duration aInTime) const;
  /** \returns whether one may be sent anew now, and counts it if so. */
  bool TrySpend(base::TimePoint aNow) { return mBudget.TrySpend(aNow); }

private:
  /** Time taken where one second was expected. */
  LatencyWindow mPerSecond;
  RetryBudget mBudget;
};

} // namespace auburnmux::retries
