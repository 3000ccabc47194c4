#include "steering/src/RampWindow.h"

#include <algorithm>

namespace auburnmux::steering {

namespace {

constexpr base::Duration kWindow = std::chrono::seconds(1);
constexpr std::uint32_t kParts = 4;
/** Samples closer together are merged, so that their number is bounded. */
constexpr base::Duration kResolution = std::chrono::milliseconds(20);

} // namespace

RampWindow::RampWindow(base::SlotCount aRampPerSecond)
  : mRamp(std::max<std::uint32_t>(aRampPerSecond.Count(), 1))
{
}

void RampWindow::Record(base::TimePoint aNow, base::SlotCount aLevel)
{
  while (!mSamples.empty() && aNow - mSamples.front().mTime > kWindow) {
    mSamples.pop_front();
  }
  const std::size_t n = mSamples.size();
  const bool isMerged = n >= 2 && aNow - mSamples[n - 2].mTime < kResolution;
  if (isMerged) {
    // The later time keeps the lower level in the window for longer.
    mSamples.back() = { aNow,
                        std::min(mSamples.back().mLevel, aLevel.Count()) };
  } else {
    mSamples.push_back({ aNow, aLevel.Count() });
  }
}

base::SlotCount RampWindow::Allowed(base::TimePoint aNow) const
{
  const std::uint32_t part = (mRamp + kParts - 1) / kParts;
  return base::SlotCount(std::min(Lowest(aNow - kWindow) + mRamp,
                                  Lowest(aNow - (kWindow / kParts)) + part));
}

std::uint32_t RampWindow::Lowest(base::TimePoint aSince) const
{
  std::uint32_t out = mSamples.empty() ? 0 : mSamples.back().mLevel;
  for (const Sample& it : mSamples) {
    if (it.mTime >= aSince) {
      out = std::min(out, it.mLevel);
    }
  }
  return out;
}

} // namespace auburnmux::steering
