#include "limits/src/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace auburnmux::limits {

namespace {

/** Largest decrease of the target in one adjustment. */
constexpr double kLeastGradient = 0.5;
/** Factor after the upstream shed a request. */
constexpr double kShedFactor = 0.7;
/** Growth per adjustment while nothing waits: a limit that is not tested
 * would stay low after a disturbance has ended. */
constexpr double kIdleGrowth = 0.5;
/** Weight of a window below the long-term latency: the unloaded latency is
 * the reference, so falls are followed faster than rises. */
constexpr double kFallWeight = 0.2;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(base::SlotCount aShare,
                                   ConcurrencySettings aSettings)
  : mSettings(aSettings)
  , mShare(aShare)
  , mLimit(aShare.Count())
{
  mWindow.reserve(mSettings.mWindow);
}

void ConcurrencyLimit::SetShare(base::SlotCount aShare)
{
  const bool atShare = Limit() == mShare;
  mShare = aShare;
  Apply(atShare ? aShare.Count() : mLimit);
}

void ConcurrencyLimit::OnSample(base::Duration aLatency, bool aWaiting)
{
  mWindow.push_back(static_cast<double>(aLatency.count()));
  mWaitingSeen = mWaitingSeen || aWaiting;
  if (mWindow.size() >= mSettings.mWindow) {
    Adjust(mWaitingSeen);
    mWindow.clear();
    mWaitingSeen = false;
  }
}

void ConcurrencyLimit::OnShed()
{
  Apply(mLimit * kShedFactor);
}

base::SlotCount ConcurrencyLimit::Limit() const
{
  return base::SlotCount(static_cast<std::uint32_t>(mLimit));
}

// A median, because one straggler in a window of ten would otherwise lower
// the limit of a healthy upstream.
double ConcurrencyLimit::WindowMedian()
{
  const auto middle =
    mWindow.begin() + static_cast<std::ptrdiff_t>(mWindow.size() / 2);
  std::nth_element(mWindow.begin(), middle, mWindow.end());
  return std::max(*middle, 1.0);
}

void ConcurrencyLimit::Adjust(bool aWaiting)
{
  const double latency = WindowMedian();
  if (mLongTerm <= 0) {
    mLongTerm = latency;
  }
  const double weight =
    latency < mLongTerm ? kFallWeight : mSettings.mLongTermWeight;
  mLongTerm += weight * (latency - mLongTerm);
  const double gradient =
    std::clamp(mSettings.mTolerance * mLongTerm / latency, kLeastGradient, 1.0);
  if (gradient < 1) {
    Apply(mLimit + mSettings.mSmoothing * mLimit * (gradient - 1));
  } else {
    Apply(mLimit + (aWaiting ? std::sqrt(mLimit) : kIdleGrowth));
  }
}

void ConcurrencyLimit::Apply(double aLimit)
{
  const double share = mShare.Count();
  mLimit = std::min(std::max(aLimit, 1.0), share);
}

} // namespace auburnmux::limits
