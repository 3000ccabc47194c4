#include "placing/src/LoadMeter.h"

#include <algorithm>
#include <cmath>

namespace auburnmux::placing {

namespace {

using Seconds = std::chrono::duration<double>;

/** Averaging time of the reports. Without a report for this long, the mean
 * starts to decay. Work takes some tenths of a second. */
constexpr Seconds kAveragingTime{ 1 };

/** Minimum and maximum weight of one report. */
constexpr double kMinWeight = 0.02;
constexpr double kMaxWeight = 0.5;

} // namespace

void LoadMeter::OnReport(base::TimePoint aNow, double aRequestsPerSlot)
{
  if (!mMeanLoad) {
    mMeanLoad = aRequestsPerSlot;
  }
  const double weight =
    std::clamp(1 - std::exp(-Seconds(aNow - mUpdatedAt) / kAveragingTime),
               kMinWeight, kMaxWeight);
  *mMeanLoad += weight * (aRequestsPerSlot - *mMeanLoad);
  mUpdatedAt = aNow;
}

std::optional<double> LoadMeter::Mean(base::TimePoint aNow) const
{
  if (!mMeanLoad) {
    return std::nullopt;
  }
  const Seconds silence = Seconds(aNow - mUpdatedAt) - kAveragingTime;
  return silence.count() > 0 ? *mMeanLoad * std::exp(-silence / kAveragingTime)
                             : *mMeanLoad;
}

} // namespace auburnmux::placing
