#pragma once

#include "retries/src/LatencyWindow.h"
#include "retries/src/RetryBudget.h"

#include <array>
#include <cstdint>
#include <optional>

namespace auburnmux::retries {

/** A request whose first attempt has not answered. */
struct HedgeContext
{
  base::WorkClass mClass = base::WorkClass::Short;
  base::WorkKind mKind = base::WorkKind::NonIdempotent;
  /** Attempts started so far, hedges included. */
  std::uint32_t mAttempts = 1;
  /** Another entry host sent the request here. */
  bool mForwarded = false;
  /** Requests wait for a slot, or no upstream has a free one. */
  bool mSaturated = false;
  /** Time since the first attempt started. */
  base::Duration mElapsed{};
  /** Time until the deadline. */
  base::Duration mRemaining{};
};

/**
 * Starts a second attempt of idempotent work that takes longer than the 95th
 * percentile of recent latency, within 5% of requests.
 */
class HedgePolicy
{
public:
  explicit HedgePolicy(BudgetSettings aBudget = { 0.05, 0 });

  void OnRequest(base::TimePoint aNow) { mBudget.OnRequest(aNow); }
  /** Takes the latency of a request from its first attempt to its answer. */
  void OnLatency(base::WorkClass aClass, base::Duration aLatency);

  /** \returns the time after which to ask ShouldHedge; none without samples. */
  std::optional<base::Duration> Delay(base::WorkClass aClass) const;
  /** \returns whether to start a hedge now, and spends budget if so. */
  bool ShouldHedge(base::TimePoint aNow, const HedgeContext& aContext);
  /** \returns the recent median latency. \sa limits::StragglerBound */
  std::optional<base::Duration> Median(base::WorkClass aClass) const;

private:
  std::array<LatencyWindow, base::kWorkClassCount> mLatency;
  RetryBudget mBudget;
};

} // namespace auburnmux::retries
