#pragma once

#include "base/Base.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace auburnmux::retries {

/** Quantiles of the most recent latencies. */
class LatencyWindow
{
public:
  static constexpr std::size_t kCapacity = 512;
  /** Minimum number of samples for a quantile. */
  static constexpr std::size_t kMinSamples = 20;

  void Add(base::Duration aLatency);
  std::optional<base::Duration> Median() const;
  /** \returns the 95th percentile. */
  std::optional<base::Duration> P95() const;

private:
  void Refresh();

  std::vector<base::Duration> mSamples;
  std::size_t mNext = 0;
  std::size_t mSinceRefresh = 0;
  std::optional<base::Duration> mMedian;
  std::optional<base::Duration> mP95;
};

} // namespace auburnmux::retries
