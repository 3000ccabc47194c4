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

admission::Ticket Dispatcher::Enqueue(admission::QueuedRequest aRequest,
                                      Callbacks aCallbacks)
{
  const admission::Ticket ticket(++mLastTicket);
  aRequest.mTicket = ticket;
  mQueue.Add(aRequest);
  mCallbacks[ticket] = std::move(aCallbacks);
  return ticket;
}

void Dispatcher::Update(admission::Ticket aTicket,
                        admission::QueuedRequest aRequest)
{
  aRequest.mTicket = aTicket;
  mQueue.Remove(aTicket);
  mQueue.Add(aRequest);
}

void Dispatcher::OnSent(admission::Ticket aTicket)
{
  mQueue.OnSent(mLoop.Now(), aTicket);
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
      const auto run = callback->second.mTryPlace; // it may remove itself
      run();
    }
  }
  RefuseExcess();
}

void Dispatcher::RefuseExcess()
{
  for (const admission::Ticket it : mQueue.Excess(mLoop.Now())) {
    const auto callback = mCallbacks.find(it);
    if (callback != mCallbacks.end()) {
      const auto run = callback->second.mRefuse;
      run();
    }
  }
}

} // namespace auburnmux::entry
