#pragma once

#include "base/Base.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

namespace auburnmux::standins {

/** Latencies that are all kept, so that quantiles are exact. */
class Samples
{
public:
  void Add(base::Duration aLatency) { mValues.push_back(aLatency); }

  /** \returns the value at \a aQuantile by nearest rank, in ms; 0 for none. */
  double Quantile(double aQuantile) const
  {
    if (mValues.empty()) {
      return 0;
    }
    std::vector<base::Duration> sorted = mValues;
    const double rank = aQuantile * static_cast<double>(sorted.size());
    const auto n = std::min(static_cast<std::size_t>(rank), sorted.size() - 1);
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<long>(n),
                     sorted.end());
    return std::chrono::duration<double, std::milli>(sorted[n]).count();
  }

  nlohmann::json ToJson() const
  {
    return { { "p50_ms", Quantile(0.5) },
             { "p95_ms", Quantile(0.95) },
             { "p99_ms", Quantile(0.99) },
             { "max_ms", Quantile(1.0) } };
  }

private:
  std::vector<base::Duration> mValues;
};

} // namespace auburnmux::standins
