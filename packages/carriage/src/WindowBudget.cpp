#include "carriage/src/WindowBudget.h"

#include <algorithm>

namespace auburnmux::carriage {

namespace {

constexpr int kSlicesPerWindow = 10;

} // namespace

WindowBudget::WindowBudget(const WindowBudgetSettings& aSettings)
  : mSettings(aSettings)
{
}

WindowBudget::Slice& WindowBudget::Current(base::TimePoint aNow)
{
  const base::Duration width = mSettings.mWindow / kSlicesPerWindow;
  if (mSlices.empty() || aNow - mSlices.back().mStart >= width) {
    mSlices.push_back({ aNow });
  }
  // One slice more than the window has, so that no window is missed.
  while (aNow - mSlices.front().mStart > mSettings.mWindow + width) {
    mSlices.pop_front();
  }
  return mSlices.back();
}

void WindowBudget::OnRequest(base::TimePoint aNow)
{
  ++Current(aNow).mRequests;
}

bool WindowBudget::TrySpend(base::TimePoint aNow, std::size_t aHosts,
                            double aPart)
{
  Slice& current = Current(aNow);
  double requests = 0;
  double repeats = 0;
  for (const Slice& it : mSlices) {
    requests += static_cast<double>(it.mRequests);
    repeats += static_cast<double>(it.mRepeats);
  }
  const double hosts = static_cast<double>(std::max<std::size_t>(aHosts, 1));
  const double allowed =
    aPart * mSettings.mShare *
    (mSettings.mRatio * requests + mSettings.mBurst / hosts);
  if (repeats + 1 > allowed) {
    return false;
  }
  ++current.mRepeats;
  return true;
}

} // namespace auburnmux::carriage
