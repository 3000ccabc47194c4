#pragma once

#include "http/src/Loop.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace auburnmux::http::internal {

/** Identifies a timer of one loop. */
using TimerNumber = Loop::TimerId;

/** Timers ordered by due time. */
class TimerQueue
{
public:
  using Task = std::function<void()>;

  /** Adds a timer; with a period of zero it fires once. */
  TimerNumber Add(base::TimePoint aDue, base::Duration aPeriod, Task aTask);
  void Remove(TimerNumber aTimer);

  /** \returns the due time of the next timer; unset without timers. */
  std::optional<base::TimePoint> NextDue() const;

  /**
   * Runs the timers that are due at \a aNow. Timers added by them run in the
   * next call at the earliest, so that sockets are served in between.
   */
  void RunDue(base::TimePoint aNow);

private:
  using Queue = std::multimap<base::TimePoint, TimerNumber>;

  struct Timer
  {
    Queue::iterator mPosition;
    base::Duration mPeriod{};
    Task mTask;
  };

  void RunOne(TimerNumber aTimer, base::TimePoint aNow);

  Queue mQueue;
  std::unordered_map<TimerNumber, Timer> mTimers;
  std::uint64_t mLastNumber = 0;
};

} // namespace auburnmux::http::internal
