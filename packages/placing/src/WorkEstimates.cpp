#include "placing/src/WorkEstimates.h"

#include <algorithm>

namespace auburnmux::placing {

namespace {

/** Weight of one sample in a running mean. */
constexpr double kSampleWeight = 0.05;

/** Samples above this multiple of the mean count as this; a few requests run
 * many times longer than the rest. */
constexpr double kSampleLimit = 3;

/** Work expected before the first sample, in latency targets. */
constexpr std::array<double, kWarmthCount> kInitialTargets = { 0.4, 0.5, 0.9,
                                                               0.9, 1.1 };

base::Duration Scale(base::Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<base::Duration>(aTime * aFactor);
}

} // namespace

WorkEstimates::Means WorkEstimates::InitialMeans(base::Duration aLatencyTarget)
{
  Means means;
  std::transform(kInitialTargets.begin(), kInitialTargets.end(), means.begin(),
                 [&](double aShare) { return Scale(aLatencyTarget, aShare); });
  return means;
}

void WorkEstimates::Learn(const std::string& aKind, Warmth aWarmth,
                          base::Duration aWork, base::Duration aLatencyTarget)
{
  const auto it = mMeans.try_emplace(aKind, InitialMeans(aLatencyTarget)).first;
  base::Duration& mean = it->second[static_cast<std::size_t>(aWarmth)];
  const base::Duration sample = std::min(aWork, Scale(mean, kSampleLimit));
  mean += Scale(sample - mean, kSampleWeight);
}

base::Duration WorkEstimates::Expect(const std::string& aKind, Warmth aWarmth,
                                     base::Duration aLatencyTarget) const
{
  const auto it = mMeans.find(aKind);
  const std::size_t n = static_cast<std::size_t>(aWarmth);
  return it == mMeans.end() ? InitialMeans(aLatencyTarget)[n] : it->second[n];
}

} // namespace auburnmux::placing
