#include "balancing/src/EjectionPolicy.h"

#include <algorithm>

namespace auburnmux::balancing::internal {

using base::Duration;
using base::TimePoint;
using base::WorkClass;

namespace {

/** At most one in this many upstreams is ejected. */
constexpr std::size_t kUpstreamsPerEjection = 3;

} // namespace

Duration EjectionPolicy::TypicalLatency(const Upstreams& aUpstreams,
                                        WorkClass aClass,
                                        const UpstreamState* aExcluded)
{
  std::vector<Duration> means;
  for (const UpstreamState& it : aUpstreams) {
    const PeakEwma& latency = it.Latency(aClass);
    if (&it != aExcluded && !it.IsEjected() && !latency.IsEmpty()) {
      means.push_back(latency.Mean());
    }
  }
  if (means.empty()) {
    return Duration::zero();
  }
  const auto middle =
    means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2);
  std::nth_element(means.begin(), middle, means.end());
  return *middle;
}

std::size_t EjectionPolicy::MaxEjected(const Upstreams& aUpstreams)
{
  const auto staying =
    std::count_if(aUpstreams.begin(), aUpstreams.end(),
                  [](const auto& aIt) { return !aIt.IsLeaving(); });
  return static_cast<std::size_t>(staying) / kUpstreamsPerEjection;
}

std::size_t EjectionPolicy::CountEjected(const Upstreams& aUpstreams)
{
  const auto ejected =
    std::count_if(aUpstreams.begin(), aUpstreams.end(), [](const auto& aIt) {
      return aIt.IsEjected() && !aIt.IsLeaving();
    });
  return static_cast<std::size_t>(ejected);
}

// Number of slots that the other upstreams need for the requests of aState. By
// Little's law, the number in flight is proportional to latency, so it shrinks
// when they are faster.
double EjectionPolicy::DisplacedLoad(const UpstreamState& aState,
                                     const Upstreams& aUpstreams)
{
  double load = 0;
  for (const WorkClass it : { WorkClass::Short, WorkClass::Long }) {
    const Duration own = aState.Latency(it).Mean();
    const Duration typical = TypicalLatency(aUpstreams, it, &aState);
    const bool known = own.count() > 0 && typical.count() > 0;
    const double ratio = known ? static_cast<double>(typical.count()) /
                                   static_cast<double>(own.count())
                               : 1;
    load += aState.InFlight(it).Count() * std::min(ratio, 1.0);
  }
  return load;
}

bool EjectionPolicy::MayEject(TimePoint aNow, const Upstreams& aUpstreams,
                              const UpstreamState& aState,
                              std::uint32_t aQueueLength)
{
  if (aState.IsLeaving() || aState.IsEjected() ||
      CountEjected(aUpstreams) + 1 > MaxEjected(aUpstreams)) {
    return false;
  }
  double load = aQueueLength + DisplacedLoad(aState, aUpstreams);
  double slots = 0;
  for (const UpstreamState& it : aUpstreams) {
    if (&it == &aState || it.IsLeaving() || it.IsEjected()) {
      continue;
    }
    load += it.InFlight().Count();
    slots += it.UsableSlots(aNow).Count();
  }
  return load <= slots;
}

void EjectionPolicy::EnforceMaxEjected(TimePoint aNow, Upstreams& aUpstreams)
{
  while (CountEjected(aUpstreams) > MaxEjected(aUpstreams)) {
    BestEjected(aUpstreams)->Readmit(aNow);
  }
}

UpstreamState* EjectionPolicy::BestEjected(Upstreams& aUpstreams)
{
  UpstreamState* best = nullptr;
  const auto rank = [](const UpstreamState& aIt) {
    return std::make_pair(aIt.Health(), aIt.Latency(WorkClass::Short).Mean());
  };
  for (UpstreamState& it : aUpstreams) {
    const bool candidate = it.IsEjected() && !it.IsLeaving();
    if (candidate && (best == nullptr || rank(it) < rank(*best))) {
      best = &it;
    }
  }
  return best;
}

} // namespace auburnmux::balancing::internal
