#include "retries/src/StragglerPolicy.h"

#include <algorithm>

namespace auburnmux::retries {

namespace {

using Seconds = std::chrono::duration<double>;

/** Least multiple of the usual time that is a straggler: below it, the rest of
 * the attempt is likely shorter than a new one. */
constexpr double kLeastMultiple = 1.5;

/** Time that is left for a new attempt, in terms of the usual one; most take up
 * to a quarter longer. */
constexpr double kNewAttempt = 1.25;

/** Takes a ratio that is kept as a duration per second. */
base::Duration Scale(base::Duration aTime, base::Duration aPerSecond)
{
  return std::chrono::duration_cast<base::Duration>(
    aTime * (Seconds(aPerSecond) / Seconds(1)));
}

/** Estimates below this say nothing about a ratio. */
constexpr base::Duration kLeastExpected = std::chrono::milliseconds(5);

} // namespace

StragglerPolicy::StragglerPolicy(BudgetSettings aBudget)
  : mBudget(aBudget)
{
}

void StragglerPolicy::OnEnded(base::Duration aExpected, base::Duration aElapsed)
{
  if (aExpected >= kLeastExpected) {
    const double multiple = Seconds(aElapsed) / Seconds(aExpected);
    mPerSecond.Add(
      std::chrono::duration_cast<base::Duration>(Seconds(multiple)));
  }
}

std::optional<base::Duration> StragglerPolicy::Limit(
  base::Duration aExpected, base::Duration aInTime) const
{
  const auto usual = mPerSecond.Median();
  if (!usual || aExpected < kLeastExpected) {
    return std::nullopt;
  }
  const base::Duration one = Scale(aExpected, *usual);
  const auto least =
    std::chrono::duration_cast<base::Duration>(one * kLeastMultiple);
  const auto latest =
    aInTime - std::chrono::duration_cast<base::Duration>(one * kNewAttempt);
  return latest >= least ? latest
                         : std::max(least, Scale(aExpected, *mPerSecond.P95()));
}

} // namespace auburnmux::retries
