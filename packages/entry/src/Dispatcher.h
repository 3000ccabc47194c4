#pragma once

#include "admission/Admission.h"
#include "http/Http.h"
#include "placing/Placing.h"

#include <functional>
#include <optional>
#include <unordered_map>

namespace auburnmux::entry {

/** Gives waiting requests their turn when upstreams may have room again. */
class Dispatcher
{
public:
  /** Places the request anew, or leaves it waiting. */
  using Turn = std::function<void()>;

  Dispatcher(http::Loop& aLoop, placing::Placement& aPlacement);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

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
  admission::AdmissionQueue mRoom;
  std::unordered_map<admission::Ticket, Turn> mTurns;
  std::uint64_t mLastTicket = 0;
  http::Loop::TimerId mIdleRounds;
  /** Set while a round is due. */
  std::optional<http::Loop::TimerId> mNextRound;
};

} // namespace auburnmux::entry
