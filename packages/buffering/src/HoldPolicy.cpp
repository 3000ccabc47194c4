#include "buffering/src/HoldPolicy.h"

#include <algorithm>

namespace auburnmux::buffering {

HoldPolicy::HoldPolicy(const HoldSettings& aSettings)
  : mSettings(aSettings)
{
}

base::ByteCount HoldPolicy::Scale(base::ByteCount aFull,
                                  base::ByteCount aTotal) const
{
  const base::ByteCount least = std::min(aFull, mSettings.mMinBound);
  if (!IsShrinking(aTotal)) {
    return aFull;
  }
  if (IsFull(aTotal)) {
    return least;
  }
  const double left =
    static_cast<double>((mSettings.mHostBound - aTotal).Count()) /
    static_cast<double>((mSettings.mHostBound - ShrinkFrom()).Count());
  return least + base::ByteCount(static_cast<std::uint64_t>(
                   static_cast<double>((aFull - least).Count()) * left));
}

std::optional<std::size_t> HoldPolicy::ClientToClose(
  base::TimePoint aNow, base::ByteCount aTotal,
  const std::vector<HeldClient>& aClients) const
{
  if (!IsFull(aTotal)) {
    return std::nullopt;
  }
  std::optional<std::size_t> found;
  for (std::size_t i = 0; i < aClients.size(); ++i) {
    const HeldClient& it = aClients[i];
    if (it.mHeld > base::ByteCount(0) &&
        aNow - it.mLastProgress >= mSettings.mIdleTime &&
        (!found || it.mHeld > aClients[*found].mHeld)) {
      found = i;
    }
  }
  return found;
}

} // namespace auburnmux::buffering
