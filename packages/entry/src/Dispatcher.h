#pragma once

#include "admission/Admission.h"
#include "http/Http.h"
#include "placing/Placing.h"

#include <functional>
#include <unordered_map>

namespace auburnmux::entry {

/** Gives waiting requests their turn when upstreams may have room again. */
class Dispatcher
{
public:
  /** Places the request anew, or leaves it waiting. */
  using Turn = std::function<void()>;

  Dispatcher(http::Loop& aLoop, placing::Placement& aPlacement);

  /** \returns a ticket with which the request leaves.
   * \param aSendBy when it has to be sent to meet its latency target */
  admission::Ticket Enter(std::uint32_t aRank, base::TimePoint aArrived,
                          base::TimePoint aSendBy, Turn aTurn);
  void Leave(admission::Ticket aTicket);
  /** An upstream may have room: a round follows soon. */
  void OnRoom();
  std::size_t Waiting() const { return mRoom.Size(); }

private:
  void RunRound();

  http::Loop& mLoop;
  placing::Placement& mPlacement;
  admission::WaitingRoom mRoom;
  std::unordered_map<admission::Ticket, Turn> mTurns;
  std::uint64_t mLastTicket = 0;
  bool mIsRoundDue = false;
};

} // namespace auburnmux::entry
