#include "standins/src/LaggingLoad.h"

namespace auburnmux::standins {

void LaggingLoad::Record(std::size_t aInFlight, base::TimePoint aNow)
{
  constexpr base::Duration kResolution = std::chrono::milliseconds(20);
  if (!mSamples.empty() && aNow - mSamples.back().mTime < kResolution) {
    mSamples.back().mInFlight = aInFlight;
  } else {
    mSamples.push_back({ aNow, aInFlight });
  }
}

std::size_t LaggingLoad::Report(base::TimePoint aNow, base::Duration aLag)
{
  while (!mSamples.empty() && mSamples.front().mTime <= aNow - aLag) {
    mReported = mSamples.front().mInFlight;
    mSamples.pop_front();
  }
  return mReported;
}

} // namespace auburnmux::standins
