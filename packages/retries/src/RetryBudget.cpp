#include "retries/src/RetryBudget.h"

#include <algorithm>

namespace auburnmux::retries {

using base::TimePoint;

namespace {

constexpr base::Duration kSecond = std::chrono::seconds(1);
/** Unused credit up to this always carries over, so that a low request rate
 * eventually earns a whole attempt. */
constexpr double kMinKeptCredit = 1;

} // namespace

RetryBudget::RetryBudget(BudgetSettings aSettings)
  : mSettings(aSettings)
{
}

void RetryBudget::OnRequest(TimePoint aNow)
{
  Advance(aNow);
  mFromRequests += mSettings.mFraction;
  // The floor was credited when the second began.
  if (mFromRequests > mEarned) {
    mCredit += mFromRequests - mEarned;
    mEarned = mFromRequests;
  }
}

bool RetryBudget::CanSpend(TimePoint aNow)
{
  Advance(aNow);
  return mCredit >= 1;
}

bool RetryBudget::TrySpend(TimePoint aNow)
{
  if (!CanSpend(aNow)) {
    return false;
  }
  mCredit -= 1;
  return true;
}

void RetryBudget::Advance(TimePoint aNow)
{
  if (!mStarted) {
    mStarted = true;
    mSecond = aNow;
    mCredit = mEarned = mSettings.mFloorPerSecond;
    return;
  }
  const auto passed = (aNow - mSecond) / kSecond;
  if (passed <= 0) {
    return;
  }
  const double earned = passed > 1 ? mSettings.mFloorPerSecond : mEarned;
  mCredit = std::min(mCredit, std::max(earned, kMinKeptCredit));
  mCredit += mSettings.mFloorPerSecond;
  mEarned = mSettings.mFloorPerSecond;
  mFromRequests = 0;
  mSecond += passed * kSecond;
}

} // namespace auburnmux::retries
