#include "retries/src/HedgePolicy.h"

namespace auburnmux::retries {

using base::WorkClass;

HedgePolicy::HedgePolicy(BudgetSettings aBudget)
  : mBudget(aBudget)
{
}

void HedgePolicy::OnLatency(WorkClass aClass, base::Duration aLatency)
{
  mLatency[base::ClassIndex(aClass)].Add(aLatency);
}

std::optional<base::Duration> HedgePolicy::Delay(WorkClass aClass) const
{
  return mLatency[base::ClassIndex(aClass)].P95();
}

std::optional<base::Duration> HedgePolicy::Median(WorkClass aClass) const
{
  return mLatency[base::ClassIndex(aClass)].Median();
}

bool HedgePolicy::ShouldHedge(base::TimePoint aNow,
                              const HedgeContext& aContext)
{
  const std::optional<base::Duration> delay = Delay(aContext.mClass);
  const bool allowed = aContext.mKind == base::WorkKind::Idempotent &&
                       aContext.mAttempts == 1 && !aContext.mForwarded &&
                       !aContext.mSaturated;
  if (!allowed || !delay || aContext.mElapsed < *delay) {
    return false;
  }
  // A hedge that can't finish before the deadline would only occupy a slot.
  if (aContext.mRemaining < *Median(aContext.mClass)) {
    return false;
  }
  return mBudget.TrySpend(aNow);
}

} // namespace auburnmux::retries
