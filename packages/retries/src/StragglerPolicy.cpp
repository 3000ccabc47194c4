#include "retries/src/StragglerPolicy.h"

#include <algorithm>

namespace auburnmux::retries {

namespace {

using Seconds = std::chrono::duration<double>;

/** Minimum multiple of the typical time for a straggler: below it, the
 * remainder of the attempt is likely shorter than a new attempt. */
constexpr double kMinMultiple = 1.5;

/** Time reserved for a new attempt, as a multiple of the typical time; most
 * attempts take up to a quarter longer than that. */
constexpr double kNewAttemptMultiple = 1.25;

/** Multiplies a time by a ratio that is stored as a duration, 1 s meaning 1. */
base::Duration Scale(base::Duration aTime, base::Duration aRatio)
{
  return std::chrono::duration_cast<base::Duration>(
    aTime * (Seconds(aRatio) / Seconds(1)));
}

/** Estimates below this are too short to compute a meaningful ratio. */
constexpr base::Duration kMinExpected = std::chrono::milliseconds(5);

} // namespace

StragglerPolicy::StragglerPolicy(BudgetSettings aBudget)
  : mBudget(aBudget)
{
}

void StragglerPolicy::OnEnded(base::Duration aExpected, base::Duration aElapsed)
{
  if (aExpected >= kMinExpected) {
    const double multiple = Seconds(aElapsed) / Seconds(aExpected);
    mTimeRatios.Add(
      std::chrono::duration_cast<base::Duration>(Seconds(multiple)));
  }
}

std::optional<base::Duration> StragglerPolicy::Threshold(
  base::Duration aExpected, base::Duration aInTime) const
{
  const auto medianRatio = mTimeRatios.Median();
  if (!medianRatio || aExpected < kMinExpected) {
    return std::nullopt;
  }
  const base::Duration typical = Scale(aExpected, *medianRatio);
  const auto least =
    std::chrono::duration_cast<base::Duration>(typical * kMinMultiple);
  const auto latest = aInTime - std::chrono::duration_cast<base::Duration>(
                                  typical * kNewAttemptMultiple);
  return latest >= least
           ? latest
           : std::max(least, Scale(aExpected, *mTimeRatios.P95()));
}

} // namespace auburnmux::retries
