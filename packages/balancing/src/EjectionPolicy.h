#pragma once

#include "balancing/src/PoolSettings.h"
#include "balancing/src/UpstreamState.h"

#include <cstdint>
#include <vector>

namespace auburnmux::balancing::internal {

/**
 * Which upstreams of a pool may be ejected: never more than a third of those
 * that aren't leaving, and never so many that the rest can't carry the load.
 */
class EjectionPolicy
{
public:
  using Upstreams = std::vector<UpstreamState>;

  /** \returns the median of mean latencies, \a aWithout and ejected upstreams
   * left out; zero when there is none. */
  static base::Duration Typical(const Upstreams& aUpstreams,
                                base::WorkClass aClass,
                                const UpstreamState* aWithout = nullptr);

  /** \param aWaiting requests in this host's queue. */
  static bool MayEject(base::TimePoint aNow, const Upstreams& aUpstreams,
                       const UpstreamState& aState, std::uint32_t aWaiting);

  /** Readmits upstreams while more than a third is ejected, such as after
   * others began to leave. */
  static void EnforceBound(base::TimePoint aNow, Upstreams& aUpstreams);

  /** \returns the ejected upstream that is most likely to work. */
  static UpstreamState* BestEjected(Upstreams& aUpstreams);

private:
  static std::size_t MostEjected(const Upstreams& aUpstreams);
  static std::size_t Ejected(const Upstreams& aUpstreams);
  static double LoadAt(const UpstreamState& aState,
                       const Upstreams& aUpstreams);
};

} // namespace auburnmux::balancing::internal
