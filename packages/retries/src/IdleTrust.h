#pragma once

#include "base/Base.h"

namespace auburnmux::retries {

/** Bounds of IdleTrust. */
struct IdleTrustSettings
{
  /** Idle time up to which connections are trusted before any was lost:
   * half of what most servers keep them at least. */
  base::Duration mMost = std::chrono::milliseconds(2500);
  /** The least; connections that rested less belong to busy upstreams. */
  base::Duration mLeast = std::chrono::milliseconds(50);
  /** Time without a loss after which twice as much is trusted. */
  base::Duration mPatience = std::chrono::seconds(5);
};

/**
 * How long a kept connection may have rested and still carry a request that
 * may not run twice. Something between the two ends may forget connections
 * that rest; what is sent next on one of them is reset and counts as perhaps
 * run. Each such loss halves the time.
 */
class IdleTrust
{
public:
  explicit IdleTrust(const IdleTrustSettings& aSettings = {});

  /** \returns the idle time up to which connections are trusted. */
  base::Duration MaxIdle(base::TimePoint aNow) const;
  /**
   * A request on a kept connection was reset.
   * \param aIdle how long the connection had rested
   * \param aAfter time from the request to the reset; one that comes later
   * than \a aRoundTrip says nothing of the rest before
   */
  void OnReset(base::TimePoint aNow, base::Duration aIdle,
               base::Duration aAfter, base::Duration aRoundTrip);

private:
  IdleTrustSettings mSettings;
  base::Duration mLimit;
  base::TimePoint mLostAt;
};

} // namespace auburnmux::retries
