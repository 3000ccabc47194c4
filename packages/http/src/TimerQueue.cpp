#include "http/src/TimerQueue.h"

#include <utility>
#include <vector>

namespace auburnmux::http::internal {

TimerNumber TimerQueue::Add(base::TimePoint aDue, base::Duration aPeriod,
                            Task aTask)
{
  const TimerNumber number(++mLastNumber);
  const auto position = mQueue.emplace(aDue, number);
  mTimers.emplace(number, Timer{ position, aPeriod, std::move(aTask) });
  return number;
}

void TimerQueue::Remove(TimerNumber aTimer)
{
  const auto it = mTimers.find(aTimer);
  if (it != mTimers.end()) {
    mQueue.erase(it->second.mPosition);
    mTimers.erase(it);
  }
}

std::optional<base::TimePoint> TimerQueue::NextDue() const
{
  return mQueue.empty() ? std::nullopt : std::optional(mQueue.begin()->first);
}

void TimerQueue::RunDue(base::TimePoint aNow)
{
  std::vector<TimerNumber> due;
  for (auto it = mQueue.begin(); it != mQueue.end() && it->first <= aNow;
       ++it) {
    due.push_back(it->second);
  }
  for (const TimerNumber it : due) {
    RunOne(it, aNow);
  }
}

void TimerQueue::RunOne(TimerNumber aTimer, base::TimePoint aNow)
{
  const auto it = mTimers.find(aTimer);
  if (it == mTimers.end()) {
    return; // removed by an earlier task of this RunDue()
  }
  mQueue.erase(it->second.mPosition);
  if (it->second.mPeriod > base::Duration::zero()) {
    const Task task = it->second.mTask; // the task may remove its timer
    it->second.mPosition = mQueue.emplace(aNow + it->second.mPeriod, aTimer);
    task();
  } else {
    const Task task = std::move(it->second.mTask);
    mTimers.erase(it);
    task();
  }
}

} // namespace auburnmux::http::internal
