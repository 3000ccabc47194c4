#include "placing/src/ShiftLimiter.h"

namespace auburnmux::placing {

namespace {

/** Window over which shifts are measured. */
constexpr base::Duration kWindowLength = std::chrono::seconds(2);
constexpr base::Duration kSliceLength = std::chrono::milliseconds(250);

/** Time for which a change of capacity lifts the limit. */
constexpr base::Duration kLiftDuration = std::chrono::seconds(6);

/** Fraction of the cap that is used. The rest is a margin, as windows that
 * start at other times can see a larger shift. */
constexpr double kUsedCapFraction = 0.6;

/** Minimum number of requests in a window for its share to be meaningful. */
constexpr double kMinWindowRequests = 20;

} // namespace

ShiftLimiter::ShiftLimiter(double aMaxShift)
  : mMaxShift(aMaxShift)
{
}

bool ShiftLimiter::IsLifted(base::TimePoint aNow) const
{
  return mCapacityChangedAt && aNow - *mCapacityChangedAt < kLiftDuration;
}

std::optional<ShiftLimiter::Windows> ShiftLimiter::LimitingWindows(
  base::TimePoint aNow) const
{
  if (IsLifted(aNow)) {
    return std::nullopt;
  }
  Windows windows;
  for (const Slice& it : mSlices) {
    const base::Duration age = aNow - it.mStart;
    if (age < 2 * kWindowLength) {
      Slice& window = age < kWindowLength ? windows.mLatest : windows.mPrevious;
      window.mTotal += it.mTotal;
      window.mOtherRegion += it.mOtherRegion;
    }
  }
  const bool isFew = windows.mLatest.mTotal < kMinWindowRequests ||
                     windows.mPrevious.mTotal < kMinWindowRequests;
  return isFew ? std::nullopt : std::optional(windows);
}

bool ShiftLimiter::MayLeaveRegion(base::TimePoint aNow) const
{
  const auto windows = LimitingWindows(aNow);
  if (!windows) {
    return true;
  }
  const auto& [latest, previous] = *windows;
  const double share = (latest.mOtherRegion + 1) / (latest.mTotal + 1);
  return share <=
         previous.mOtherRegion / previous.mTotal + kUsedCapFraction * mMaxShift;
}

bool ShiftLimiter::MayStayInRegion(base::TimePoint aNow) const
{
  const auto windows = LimitingWindows(aNow);
  if (!windows) {
    return true;
  }
  const auto& [latest, previous] = *windows;
  const double share = latest.mOtherRegion / (latest.mTotal + 1);
  return share >=
         previous.mOtherRegion / previous.mTotal - kUsedCapFraction * mMaxShift;
}

void ShiftLimiter::OnPlaced(base::TimePoint aNow, bool aIsOtherRegion)
{
  if (mSlices.empty() || aNow - mSlices.back().mStart >= kSliceLength) {
    mSlices.push_back({ aNow });
  }
  while (aNow - mSlices.front().mStart > 2 * kWindowLength + kSliceLength) {
    mSlices.pop_front();
  }
  mSlices.back().mTotal += 1;
  mSlices.back().mOtherRegion += aIsOtherRegion ? 1 : 0;
}

} // namespace auburnmux::placing
