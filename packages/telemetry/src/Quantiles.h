#pragma once

#include "base/Base.h"

#include <array>
#include <memory>

namespace auburnmux::telemetry {

/** Latencies that Quantiles reports. */
struct QuantileValues
{
  std::uint64_t mCount = 0;
  base::Duration mSum{};
  base::Duration mP50{};
  base::Duration mP95{};
  base::Duration mP99{};
};

/**
 * Running quantiles of a latency over the last one to two windows, in constant
 * memory (extended P-square algorithm of Boost.Accumulators).
 */
class Quantiles
{
public:
  explicit Quantiles(base::Duration aWindow = std::chrono::seconds(10));
  ~Quantiles();
  Quantiles(Quantiles&&) noexcept;
  Quantiles& operator=(Quantiles&&) noexcept;

  void Add(base::TimePoint aNow, base::Duration aValue);

  /** \returns the values of the last full window, or of the one under way. */
  QuantileValues Read(base::TimePoint aNow);

private:
  struct Window;
  void Rotate(base::TimePoint aNow);

  base::Duration mWindow;
  base::TimePoint mStart;
  std::uint64_t mCount = 0;
  base::Duration mSum{};
  std::unique_ptr<Window> mCurrent;
  std::unique_ptr<Window> mLast;
};

} // namespace auburnmux::telemetry
