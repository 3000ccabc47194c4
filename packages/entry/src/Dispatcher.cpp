#include "entry/src/Dispatcher.h"

#include <utility>

namespace auburnmux::entry {

namespace {

/** Requests that are placed anew in one round. */
constexpr std::size_t kRoundSize = 64;

/** Pause before a round, in which several upstreams get room. */
constexpr base::Duration kRoundPause = std::chrono::milliseconds(2);

/** Estimates change by themselves, so that rounds go on without an event. */
constexpr base::Duration kIdleRound = std::chrono::milliseconds(25);

} // namespace

Dispatcher::Dispatcher(http::Loop& aLoop, placing::Placement& aPlacement)
  : mLoop(aLoop)
  , mPlacement(aPlacement)
{
  mIdleRounds = mLoop.Every(kIdleRound, [this] { RunRound(); });
}

Dispatcher::~Dispatcher()
{
  mLoop.Cancel(mIdleRounds);
  if (mNextRound) {
    mLoop.Cancel(*mNextRound);
  }
}

admission::Ticket Dispatcher::Enter(std::uint32_t aRank,
                                    base::TimePoint aArrived,
                                    base::TimePoint aSendBy, Turn aTurn)
{
  const admission::Ticket ticket(++mLastTicket);
  mRoom.Add({ ticket, aRank, aArrived, aSendBy });
  mTurns[ticket] = std::move(aTurn);
  return ticket;
}

void Dispatcher::Leave(admission::Ticket aTicket)
{
  mRoom.Remove(aTicket);
  mTurns.erase(aTicket);
}

void Dispatcher::OnRoom()
{
  if (!mNextRound && !mRoom.IsEmpty()) {
    mNextRound = mLoop.After(kRoundPause, [this] {
      mNextRound.reset();
      RunRound();
    });
  }
}

void Dispatcher::RunRound()
{
  if (mRoom.IsEmpty()) {
    return;
  }
  mPlacement.BeginRound();
  for (const admission::Ticket it : mRoom.First(mLoop.Now(), kRoundSize)) {
    const auto turn = mTurns.find(it);
    if (turn != mTurns.end()) {
      const Turn run = turn->second; // it may leave
      run();
    }
  }
}

} // namespace auburnmux::entry
