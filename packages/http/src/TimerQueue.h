#pragma once

#include "http/src/Loop.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace auburnmux::http::internal {

/** Identifies a timer of one loop. */
using TimerNumber = Loop::TimerId;

/** Timers in the order in which they fall due. */
class TimerQueue
{
public:
  using Task = std::function<void()>;

  /** Adds a timer; a period of zero fires it once. */
  TimerNumber Add(base::TimePoint aDue, base::Duration aPeriod, Task aTask);
  void Remove(TimerNumber aTimer);

  /** \returns when the next timer falls due; none without timers. */
  std::optional<base::TimePoint> NextDue() const;

  /**
   * Runs the timers that are due at \a aNow. Timers that those add wait for
   * the next call, so that connections get a turn in between.
   */
  void RunDue(base::TimePoint aNow);

private:
  using Queue = std::multimap<base::TimePoint, TimerNumber>;

  struct Timer
  {
    Queue::iterator mPlace;
    base::Duration mPeriod{};
    Task mTask;
  };

  void RunOne(TimerNumber aTimer, base::TimePoint aNow);

  Queue mQueue;
  std::unordered_map<TimerNumber, Timer> mTimers;
  std::uint64_t mLastNumber = 0;
};

} // namespace auburnmux::http::internal
