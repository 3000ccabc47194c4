#include "retries/src/LatencyWindow.h"

#include <algorithm>

namespace auburnmux::retries {

namespace {

/** Number of samples after which the quantiles are recomputed. */
constexpr std::size_t kRefreshInterval = 16;
constexpr std::size_t kPercent = 100;

base::Duration Percentile(std::vector<base::Duration>& aSamples,
                          std::size_t aPercent)
{
  const std::size_t at = (aSamples.size() - 1) * aPercent / kPercent;
  const auto it = aSamples.begin() + static_cast<std::ptrdiff_t>(at);
  std::nth_element(aSamples.begin(), it, aSamples.end());
  return *it;
}

} // namespace

void LatencyWindow::Add(base::Duration aLatency)
{
  if (mSamples.size() < kCapacity) {
    mSamples.push_back(aLatency);
  } else {
    mSamples[mNext] = aLatency;
    mNext = (mNext + 1) % kCapacity;
  }
  ++mSinceRefresh;
  const bool due = !mP95 || mSinceRefresh >= kRefreshInterval;
  if (mSamples.size() >= kMinSamples && due) {
    Refresh();
  }
}

std::optional<base::Duration> LatencyWindow::Median() const
{
  return mMedian;
}

std::optional<base::Duration> LatencyWindow::P95() const
{
  return mP95;
}

void LatencyWindow::Refresh()
{
  std::vector<base::Duration> samples = mSamples;
  mMedian = Percentile(samples, 50);
  mP95 = Percentile(samples, 95);
  mSinceRefresh = 0;
}

} // namespace auburnmux::retries
