#include "carriage/src/WindowedRetryBudget.h"

#include <algorithm>

namespace auburnmux::carriage {

namespace {

constexpr int kSlicesPerWindow = 10;

} // namespace

WindowedRetryBudget::WindowedRetryBudget(
  const WindowedRetryBudgetSettings& aSettings)
  : mSettings(aSettings)
{
}

WindowedRetryBudget::Slice& WindowedRetryBudget::CurrentSlice(
  base::TimePoint aNow)
{
  const base::Duration width = mSettings.mWindow / kSlicesPerWindow;
  if (mSlices.empty() || aNow - mSlices.back().mStart >= width) {
    mSlices.push_back({ aNow });
  }
  // Keeps one slice more than a window holds, so that the slices cover every
  // window that ends now.
  while (aNow - mSlices.front().mStart > mSettings.mWindow + width) {
    mSlices.pop_front();
  }
  return mSlices.back();
}

void WindowedRetryBudget::OnRequest(base::TimePoint aNow)
{
  ++CurrentSlice(aNow).mRequests;
}

bool WindowedRetryBudget::TrySpend(base::TimePoint aNow, std::size_t aHosts,
                                   double aFraction)
{
  Slice& current = CurrentSlice(aNow);
  double requests = 0;
  double retries = 0;
  for (const Slice& it : mSlices) {
    requests += static_cast<double>(it.mRequests);
    retries += static_cast<double>(it.mRetries);
  }
  const double hosts = static_cast<double>(std::max<std::size_t>(aHosts, 1));
  const double allowed =
    aFraction * mSettings.mUsableFraction *
    (mSettings.mRatio * requests + mSettings.mBurst / hosts);
  if (retries + 1 > allowed) {
    return false;
  }
  ++current.mRetries;
  return true;
}

} // namespace auburnmux::carriage
