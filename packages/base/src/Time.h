#pragma once

#include <chrono>

namespace auburnmux::base {

/**
 * Monotonic clock that all decisions use; tests set its time explicitly. It
 * keeps running while a process is stopped by SIGSTOP.
 */
struct DecisionClock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<DecisionClock, duration>;
  static constexpr bool is_steady = true; // NOLINT(*-identifier-naming)
};

using Duration = DecisionClock::duration;
using TimePoint = DecisionClock::time_point;

/** Wall clock time, in ms since the Unix epoch. */
using WallTime =
  std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

} // namespace auburnmux::base
