#pragma once

#include "base/Base.h"

#include <array>
#include <memory>

namespace auburnmux::telemetry {

/** Count, sum and quantiles of latencies. Count and sum cover all samples, the
 * quantiles one window. */
struct QuantileValues
{
  std::uint64_t mCount = 0;
  base::Duration mSum{};
  base::Duration mP50{};
  base::Duration mP95{};
  base::Duration mP99{};
};

/**
 * Estimates latency quantiles over time windows in constant memory, with the
 * extended P-square algorithm of Boost.Accumulators. Results come from the
 * previous window, so their samples are up to two windows old.
 */
class Quantiles
{
public:
  explicit Quantiles(base::Duration aWindow = std::chrono::seconds(10));
  ~Quantiles();
  Quantiles(Quantiles&&) noexcept;
  Quantiles& operator=(Quantiles&&) noexcept;

  void Add(base::TimePoint aNow, base::Duration aValue);

  /** \returns the quantiles of the previous window, or of the current one if
   * the previous one has too few samples; zero if both have. */
  QuantileValues Read(base::TimePoint aNow);

private:
  struct Window;
  void Rotate(base::TimePoint aNow);

  base::Duration mWindow;
  base::TimePoint mStart;
  std::uint64_t mCount = 0;
  base::Duration mSum{};
  std::unique_ptr<Window> mCurrent;
  std::unique_ptr<Window> mPrevious;
};

} // namespace auburnmux::telemetry
