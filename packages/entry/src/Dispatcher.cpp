#include "entry/src/Dispatcher.h"

#include <utility>

namespace auburnmux::entry {

namespace {

/** Maximum number of queued requests dispatched in one round. */
constexpr std::size_t kMaxRequestsPerRound = 64;

/** Delay of a round, so that it serves the capacity of several upstreams. */
constexpr base::Duration kRoundDelay = std::chrono::milliseconds(2);

/** Interval of rounds that run without an event: the estimates of the upstreams
 * also change over time. */
constexpr base::Duration kPeriodicRoundInterval = std::chrono::milliseconds(25);

} // namespace

Dispatcher::Dispatcher(http::Loop& aLoop, placing::Placement& aPlacement)
  : mLoop(aLoop)
  , mPlacement(aPlacement)
{
  mPeriodicRounds = mLoop.Every(kPeriodicRoundInterval, [this] { RunRound(); });
}

Dispatcher::~Dispatcher()
{
  mLoop.Cancel(mPeriodicRounds);
  if (mNextRound) {
    mLoop.Cancel(*mNextRound);
  }
}

admission::Ticket Dispatcher::Enqueue(std::uint32_t aRank,
                                      base::TimePoint aArrived,
                                      base::TimePoint aSendBy,
                                      DispatchCallback aCallback)
{
  const admission::Ticket ticket(++mLastTicket);
  mQueue.Add({ ticket, aRank, aArrived, aSendBy });
  mCallbacks[ticket] = std::move(aCallback);
  return ticket;
}

void Dispatcher::Remove(admission::Ticket aTicket)
{
  mQueue.Remove(aTicket);
  mCallbacks.erase(aTicket);
}

void Dispatcher::OnCapacityAvailable()
{
  if (!mNextRound && !mQueue.IsEmpty()) {
    mNextRound = mLoop.After(kRoundDelay, [this] {
      mNextRound.reset();
      RunRound();
    });
  }
}

void Dispatcher::RunRound()
{
  if (mQueue.IsEmpty()) {
    return;
  }
  mPlacement.BeginRound();
  for (const admission::Ticket it :
       mQueue.First(mLoop.Now(), kMaxRequestsPerRound)) {
    const auto callback = mCallbacks.find(it);
    if (callback != mCallbacks.end()) {
      const DispatchCallback run = callback->second; // it may remove itself
      run();
    }
  }
}

} // namespace auburnmux::entry
