#include "placing/src/WorkEstimates.h"

#include <algorithm>

namespace auburnmux::placing {

namespace {

/** Number of samples from which all have the same weight, its inverse. */
constexpr int kMaxCountedSamples = 20;

/** Samples are capped at this multiple of the mean, because a few requests run
 * many times longer than the rest. */
constexpr double kMaxSampleRatio = 3;

/** Estimates before the first sample, as multiples of the latency target, in
 * the order of Warmth. */
constexpr std::array<double, kWarmthCount> kInitialTargetMultiples = { 0.4, 0.5,
                                                                       0.9, 0.9,
                                                                       1.1 };

base::Duration Scale(base::Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<base::Duration>(aTime * aFactor);
}

} // namespace

WorkEstimates::Means WorkEstimates::InitialMeans(base::Duration aLatencyTarget)
{
  Means means;
  std::transform(kInitialTargetMultiples.begin(), kInitialTargetMultiples.end(),
                 means.begin(), [&](double aShare) {
                   return Mean{ Scale(aLatencyTarget, aShare) };
                 });
  return means;
}

void WorkEstimates::AddSample(const std::string& aKind, Warmth aWarmth,
                              base::Duration aWork,
                              base::Duration aLatencyTarget)
{
  const auto it = mMeans.try_emplace(aKind, InitialMeans(aLatencyTarget)).first;
  Mean& mean = it->second[static_cast<std::size_t>(aWarmth)];
  const base::Duration sample =
    std::min(aWork, Scale(mean.mTime, kMaxSampleRatio));
  // The default counts as one sample.
  mean.mSamples = aWarmth == Warmth::None
                    ? std::min(mean.mSamples + 1, kMaxCountedSamples - 1)
                    : kMaxCountedSamples - 1;
  mean.mTime += (sample - mean.mTime) / (mean.mSamples + 1);
}

base::Duration WorkEstimates::Estimate(const std::string& aKind, Warmth aWarmth,
                                       base::Duration aLatencyTarget) const
{
  const auto it = mMeans.find(aKind);
  const std::size_t n = static_cast<std::size_t>(aWarmth);
  return (it == mMeans.end() ? InitialMeans(aLatencyTarget)[n] : it->second[n])
    .mTime;
}

} // namespace auburnmux::placing
