#include "limits/src/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace auburnmux::limits {

namespace {

/** Lower bound of the gradient, which limits the decrease per adjustment. */
constexpr double kMinGradient = 0.5;
/** The limit is multiplied by this when the upstream sheds a request. */
constexpr double kShedFactor = 0.7;
/** Growth per adjustment while no request waits. Without it, the limit would
 * stay low after a disturbance has ended. */
constexpr double kIdleGrowth = 0.5;
/** Weight of a window below the long-term latency. The unloaded latency is the
 * reference, so the average follows decreases faster than increases. */
constexpr double kDecreaseWeight = 0.2;

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
  SetLimit(atShare ? aShare.Count() : mLimit);
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
  SetLimit(mLimit * kShedFactor);
}

base::SlotCount ConcurrencyLimit::Limit() const
{
  return base::SlotCount(static_cast<std::uint32_t>(mLimit));
}

// Uses the median, because one straggler in a window of ten would raise the
// mean enough to lower the limit of a healthy upstream.
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
    latency < mLongTerm ? kDecreaseWeight : mSettings.mLongTermWeight;
  mLongTerm += weight * (latency - mLongTerm);
  const double gradient =
    std::clamp(mSettings.mTolerance * mLongTerm / latency, kMinGradient, 1.0);
  if (gradient < 1) {
    SetLimit(mLimit + mSettings.mSmoothing * mLimit * (gradient - 1));
  } else {
    SetLimit(mLimit + (aWaiting ? std::sqrt(mLimit) : kIdleGrowth));
  }
}

void ConcurrencyLimit::SetLimit(double aLimit)
{
  const double share = mShare.Count();
  mLimit = std::min(std::max(aLimit, 1.0), share);
}

} // namespace auburnmux::limits
