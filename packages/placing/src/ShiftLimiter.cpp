#include "placing/src/ShiftLimiter.h"

namespace auburnmux::placing {

namespace {

/** Window over which shifts are measured. */
constexpr base::Duration kWindow = std::chrono::seconds(2);
constexpr base::Duration kSlice = std::chrono::milliseconds(250);

/** How long a change of capacity lifts the limit. */
constexpr base::Duration kLift = std::chrono::seconds(6);

/** Part of the cap that is used; windows of other phases see more. */
constexpr double kUsedShare = 0.6;

/** Requests in a window below which a share means nothing. */
constexpr double kFewRequests = 20;

} // namespace

ShiftLimiter::ShiftLimiter(double aMaxShift)
  : mMaxShift(aMaxShift)
{
}

bool ShiftLimiter::IsLifted(base::TimePoint aNow) const
{
  return mChangedAt && aNow - *mChangedAt < kLift;
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
    if (age < 2 * kWindow) {
      Slice& window = age < kWindow ? windows.mLast : windows.mBefore;
      window.mAll += it.mAll;
      window.mLeft += it.mLeft;
    }
  }
  const bool isFew =
    windows.mLast.mAll < kFewRequests || windows.mBefore.mAll < kFewRequests;
  return isFew ? std::nullopt : std::optional(windows);
}

bool ShiftLimiter::MayLeave(base::TimePoint aNow) const
{
  const auto windows = LimitingWindows(aNow);
  if (!windows) {
    return true;
  }
  const auto& [last, before] = *windows;
  const double share = (last.mLeft + 1) / (last.mAll + 1);
  return share <= before.mLeft / before.mAll + kUsedShare * mMaxShift;
}

bool ShiftLimiter::MayStay(base::TimePoint aNow) const
{
  const auto windows = LimitingWindows(aNow);
  if (!windows) {
    return true;
  }
  const auto& [last, before] = *windows;
  const double share = last.mLeft / (last.mAll + 1);
  return share >= before.mLeft / before.mAll - kUsedShare * mMaxShift;
}

void ShiftLimiter::OnPlaced(base::TimePoint aNow, bool aIsOtherRegion)
{
  if (mSlices.empty() || aNow - mSlices.back().mStart >= kSlice) {
    mSlices.push_back({ aNow });
  }
  while (aNow - mSlices.front().mStart > 2 * kWindow + kSlice) {
    mSlices.pop_front();
  }
  mSlices.back().mAll += 1;
  mSlices.back().mLeft += aIsOtherRegion ? 1 : 0;
}

} // namespace auburnmux::placing
