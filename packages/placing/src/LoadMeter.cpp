#include "placing/src/LoadMeter.h"

#include <algorithm>
#include <cmath>

namespace auburnmux::placing {

namespace {

using Seconds = std::chrono::duration<double>;

/** Time over which reports are averaged, and after which silence lets the
 * load fade: work takes some tenths of a second. */
constexpr Seconds kMemory{ 1 };

/** Weight of one report at least and at most. */
constexpr double kLeastWeight = 0.02;
constexpr double kMostWeight = 0.5;

} // namespace

void LoadMeter::OnReport(base::TimePoint aNow, double aLoad)
{
  if (!mLoad) {
    mLoad = aLoad;
  }
  const double weight = std::clamp(1 - std::exp(-Seconds(aNow - mAt) / kMemory),
                                   kLeastWeight, kMostWeight);
  *mLoad += weight * (aLoad - *mLoad);
  mAt = aNow;
}

std::optional<double> LoadMeter::Usual(base::TimePoint aNow) const
{
  if (!mLoad) {
    return std::nullopt;
  }
  const Seconds silence = Seconds(aNow - mAt) - kMemory;
  return silence.count() > 0 ? *mLoad * std::exp(-silence / kMemory) : *mLoad;
}

} // namespace auburnmux::placing
