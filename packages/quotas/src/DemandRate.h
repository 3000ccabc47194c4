#pragma once

#include "quotas/src/Settings.h"

#include <cmath>
#include <cstdint>

namespace auburnmux::quotas {

/** Demand for tokens of a customer, averaged over about a second. */
class DemandRate
{
public:
  void Add(base::TimePoint aNow, std::uint32_t aCount)
  {
    mPerSecond = PerSecond(aNow) + aCount / kPeriod;
    mUpdatedAt = aNow;
  }

  double PerSecond(base::TimePoint aNow) const
  {
    const std::chrono::duration<double> age = aNow - mUpdatedAt;
    return mPerSecond * std::exp(-age.count() / kPeriod);
  }

  /** \returns the number of tokens worth holding in stock: the demand of
   * kAheadPeriod, or one if it would probably be used in twice that time. */
  std::uint32_t AheadTarget(base::TimePoint aNow) const
  {
    const std::chrono::duration<double> period = kAheadPeriod;
    const double n = PerSecond(aNow) * period.count();
    return n >= 1 ? static_cast<std::uint32_t>(n) : (n >= 0.5 ? 1U : 0U);
  }

private:
  static constexpr double kPeriod = 1;

  double mPerSecond = 0;
  base::TimePoint mUpdatedAt;
};

} // namespace auburnmux::quotas
