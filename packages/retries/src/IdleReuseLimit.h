#pragma once

#include "base/Base.h"

namespace auburnmux::retries {

/** Bounds of IdleReuseLimit. */
struct IdleReuseLimitSettings
{
  /** Initial and largest limit: half of the shortest keep-alive timeout that
   * most servers use. */
  base::Duration mMaxLimit = std::chrono::milliseconds(2500);
  /** Smallest limit; connections idle for less belong to busy upstreams. */
  base::Duration mMinLimit = std::chrono::milliseconds(50);
  /** Time without a reset after which the limit doubles. */
  base::Duration mDoublingInterval = std::chrono::seconds(5);
};

/**
 * Limits how long a pooled connection may have been idle and still be reused
 * for a non-idempotent request. A device on the path may silently drop idle
 * connections. The next request on such a connection is reset, and counts as
 * possibly run. Each such reset halves the limit.
 */
class IdleReuseLimit
{
public:
  explicit IdleReuseLimit(const IdleReuseLimitSettings& aSettings = {});

  /** \returns the idle time below which connections may be reused. */
  base::Duration MaxIdle(base::TimePoint aNow) const;
  /**
   * A request on a reused connection was reset.
   * \param aIdle how long the connection had been idle
   * \param aTimeToReset time from the request to the reset; a reset that comes
   * later than about \a aRoundTrip is not attributed to the idle time
   */
  void OnReset(base::TimePoint aNow, base::Duration aIdle,
               base::Duration aTimeToReset, base::Duration aRoundTrip);

private:
  IdleReuseLimitSettings mSettings;
  base::Duration mLimit;
  base::TimePoint mLastResetAt;
};

} // namespace auburnmux::retries
