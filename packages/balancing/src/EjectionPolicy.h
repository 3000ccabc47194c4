#pragma once

#include "balancing/src/PoolSettings.h"
#include "balancing/src/UpstreamState.h"

#include <cstdint>
#include <vector>

namespace auburnmux::balancing::internal {

/**
 * Limits outlier ejection: at most a third of the upstreams that aren't leaving
 * is ejected, and only as long as the others have enough slots for the load.
 */
class EjectionPolicy
{
public:
  using Upstreams = std::vector<UpstreamState>;

  /** \returns the median of the upstreams' mean latencies without \a aExcluded
   * and ejected upstreams; zero if there are no samples. */
  static base::Duration TypicalLatency(
    const Upstreams& aUpstreams, base::WorkClass aClass,
    const UpstreamState* aExcluded = nullptr);

  /** \returns whether \a aState may be ejected. \param aQueueLength requests in
   * this host's queue. */
  static bool MayEject(base::TimePoint aNow, const Upstreams& aUpstreams,
                       const UpstreamState& aState, std::uint32_t aQueueLength);

  /** Readmits upstreams until at most a third is ejected. More may be ejected
   * after other upstreams began to leave. */
  static void EnforceMaxEjected(base::TimePoint aNow, Upstreams& aUpstreams);

  /** \returns the ejected upstream with the best health, then the lowest
   * latency; null if none is ejected. */
  static UpstreamState* BestEjected(Upstreams& aUpstreams);

private:
  static std::size_t MaxEjected(const Upstreams& aUpstreams);
  static std::size_t CountEjected(const Upstreams& aUpstreams);
  static double DisplacedLoad(const UpstreamState& aState,
                              const Upstreams& aUpstreams);
};

} // namespace auburnmux::balancing::internal
