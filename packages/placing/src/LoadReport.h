#pragma once

#include "base/Base.h"

namespace auburnmux::placing {

/** What an upstream said of its load in a response. */
struct LoadReport
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  base::SlotCount mSlots;
  /** How long work takes on its machine at that moment; 1 is as usual. */
  double mSlowness = 1;
};

} // namespace auburnmux::placing
