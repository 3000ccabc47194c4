#pragma once

#include "retries/src/LatencyWindow.h"
#include "retries/src/RetryBudget.h"

#include <array>
#include <cstdint>
#include <optional>

namespace auburnmux::retries {

/** A request whose first attempt has not been answered yet. */
struct HedgeContext
{
  base::WorkClass mClass = base::WorkClass::Short;
  base::WorkKind mKind = base::WorkKind::NonIdempotent;
  /** Attempts started so far, hedges included. */
  std::uint32_t mAttempts = 1;
  /** Another entry host sent the request here. */
  bool mForwarded = false;
  /** Requests are queued for a slot, or no upstream has a free one. */
  bool mSaturated = false;
  /** Time since the first attempt started. */
  base::Duration mElapsed{};
  /** Time until the deadline. */
  base::Duration mRemaining{};
};

/**
 * Decides when to hedge, that is, to start a second attempt of idempotent work
 * that takes longer than the 95th percentile of recent latency. Hedges are
 * limited to 5% of requests by default.
 */
class HedgePolicy
{
public:
  explicit HedgePolicy(BudgetSettings aBudget = { 0.05, 0 });

  void OnRequest(base::TimePoint aNow) { mBudget.OnRequest(aNow); }
  /** Records the time from the first attempt of a request to its response. */
  void OnLatency(base::WorkClass aClass, base::Duration aLatency);

  /** \returns the time after which to call ShouldHedge; none without enough
   * samples. */
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
