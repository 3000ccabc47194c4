#include "limits/src/Admission.h"

#include <algorithm>
#include <cmath>

namespace auburnmux::limits {

using base::Duration;
using base::WorkClass;

namespace {

/** Weight of a sample in the mean and in the deviation. */
constexpr double kWeight = 1.0 / 16;
/** Mean deviations above the mean within which most work finishes. */
constexpr double kDeviations = 4;
/** Multiple of the mean to which a sample is cut, so that one straggler
 * doesn't shed the requests behind it. */
constexpr double kLargestSample = 8;
constexpr Duration kNoSlots = std::chrono::hours(1);
constexpr std::chrono::seconds kLongestRetryAfter(30);

} // namespace

void Admission::OnServed(WorkClass aClass, Duration aService)
{
  Service& service = mService[base::ClassIndex(aClass)];
  auto sample = static_cast<double>(aService.count());
  if (service.mMean <= 0) {
    service = { sample, sample / 2 };
    return;
  }
  sample = std::min(sample, kLargestSample * service.mMean);
  const double difference = sample - service.mMean;
  service.mMean += kWeight * difference;
  service.mDeviation += kWeight * (std::abs(difference) - service.mDeviation);
}

AdmissionResult Admission::Decide(WorkClass aClass, Duration aRemaining,
                                  const AdmissionLoad& aLoad) const
{
  const Duration wait = ExpectedWait(aClass, aLoad);
  // Work that starts at once is worth trying within its mean time; a place in
  // the queue goes to work that is likely to use it.
  const Duration service = wait.count() == 0
                             ? Duration(static_cast<Duration::rep>(
                                 mService[base::ClassIndex(aClass)].mMean))
                             : ServiceTime(aClass);
  if (wait + service <= aRemaining) {
    return Admitted{};
  }
  const auto whole = std::chrono::ceil<std::chrono::seconds>(wait);
  return Shed{ std::clamp(whole, std::chrono::seconds(1), kLongestRetryAfter) };
}

Duration Admission::ExpectedWait(WorkClass aClass,
                                 const AdmissionLoad& aLoad) const
{
  if (aLoad.mSlots.Count() == 0) {
    return kNoSlots;
  }
  if (aLoad.mFree.Count() > aLoad.mWaiting) {
    return Duration::zero();
  }
  const double ahead = aLoad.mWaiting - aLoad.mFree.Count() + 1;
  const double wait =
    ahead * mService[base::ClassIndex(aClass)].mMean / aLoad.mSlots.Count();
  return std::min(kNoSlots, Duration(static_cast<Duration::rep>(wait)));
}

Duration Admission::ServiceTime(WorkClass aClass) const
{
  const Service& service = mService[base::ClassIndex(aClass)];
  return Duration(static_cast<Duration::rep>(service.mMean +
                                             kDeviations * service.mDeviation));
}

} // namespace auburnmux::limits
