#include "limits/src/Admission.h"

#include <algorithm>
#include <cmath>

namespace auburnmux::limits {

using base::Duration;
using base::WorkClass;

namespace {

/** Weight of a sample in the moving averages of the mean and the deviation. */
constexpr double kSampleWeight = 1.0 / 16;
/** Number of mean deviations above the mean within which most requests finish.
 */
constexpr double kDeviations = 4;
/** Samples are clamped to this multiple of the mean, so that one straggler
 * doesn't cause the requests behind it to be shed. */
constexpr double kMaxSampleMultiple = 8;
constexpr Duration kWaitWithoutSlots = std::chrono::hours(1);
constexpr std::chrono::seconds kMaxRetryAfter(30);

} // namespace

void Admission::OnServed(WorkClass aClass, Duration aService)
{
  Service& service = mService[base::ClassIndex(aClass)];
  auto sample = static_cast<double>(aService.count());
  if (service.mMean <= 0) {
    service = { sample, sample / 2 };
    return;
  }
  sample = std::min(sample, kMaxSampleMultiple * service.mMean);
  const double difference = sample - service.mMean;
  service.mMean += kSampleWeight * difference;
  service.mDeviation +=
    kSampleWeight * (std::abs(difference) - service.mDeviation);
}

AdmissionResult Admission::Decide(WorkClass aClass, Duration aRemaining,
                                  const AdmissionLoad& aLoad) const
{
  const Duration wait = ExpectedWait(aClass, aLoad);
  // A request that can start at once only needs the mean service time to
  // remain. A request that would be queued must be likely to finish in time.
  const Duration service = wait.count() == 0
                             ? Duration(static_cast<Duration::rep>(
                                 mService[base::ClassIndex(aClass)].mMean))
                             : ServiceTime(aClass);
  if (wait + service <= aRemaining) {
    return Admitted{};
  }
  const auto retryAfter = std::chrono::ceil<std::chrono::seconds>(wait);
  return Shed{ std::clamp(retryAfter, std::chrono::seconds(1),
                          kMaxRetryAfter) };
}

Duration Admission::ExpectedWait(WorkClass aClass,
                                 const AdmissionLoad& aLoad) const
{
  if (aLoad.mSlots.Count() == 0) {
    return kWaitWithoutSlots;
  }
  if (aLoad.mFree.Count() > aLoad.mWaiting) {
    return Duration::zero();
  }
  const double ahead = aLoad.mWaiting - aLoad.mFree.Count() + 1;
  const double wait =
    ahead * mService[base::ClassIndex(aClass)].mMean / aLoad.mSlots.Count();
  return std::min(kWaitWithoutSlots,
                  Duration(static_cast<Duration::rep>(wait)));
}

Duration Admission::ServiceTime(WorkClass aClass) const
{
  const Service& service = mService[base::ClassIndex(aClass)];
  return Duration(static_cast<Duration::rep>(service.mMean +
                                             kDeviations * service.mDeviation));
}

} // namespace auburnmux::limits
