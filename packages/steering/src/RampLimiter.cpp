#include "steering/src/RampLimiter.h"

#include <algorithm>

namespace auburnmux::steering {

namespace {

constexpr base::Duration kWindow = std::chrono::seconds(1);
constexpr std::uint32_t kPartsPerWindow = 4;
/** Samples less than this apart are merged, which bounds their number. */
constexpr base::Duration kResolution = std::chrono::milliseconds(20);

} // namespace

RampLimiter::RampLimiter(base::SlotCount aRampPerSecond)
  : mRamp(std::max<std::uint32_t>(aRampPerSecond.Count(), 1))
{
}

void RampLimiter::Record(base::TimePoint aNow, base::SlotCount aLevel)
{
  while (!mSamples.empty() && aNow - mSamples.front().mTime > kWindow) {
    mSamples.pop_front();
  }
  const std::size_t n = mSamples.size();
  const bool isMerged = n >= 2 && aNow - mSamples[n - 2].mTime < kResolution;
  if (isMerged) {
    // The merged sample has the later time, so that the lower level stays in
    // the window for longer.
    mSamples.back() = { aNow,
                        std::min(mSamples.back().mLevel, aLevel.Count()) };
  } else {
    mSamples.push_back({ aNow, aLevel.Count() });
  }
}

base::SlotCount RampLimiter::MaxLevel(base::TimePoint aNow) const
{
  const std::uint32_t part = (mRamp + kPartsPerWindow - 1) / kPartsPerWindow;
  return base::SlotCount(
    std::min(MinLevel(aNow - kWindow) + mRamp,
             MinLevel(aNow - (kWindow / kPartsPerWindow)) + part));
}

std::uint32_t RampLimiter::MinLevel(base::TimePoint aSince) const
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
