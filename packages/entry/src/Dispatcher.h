#pragma once

#include "admission/Admission.h"
#include "http/Http.h"
#include "placing/Placing.h"

#include <functional>
#include <optional>
#include <unordered_map>

namespace auburnmux::entry {

/** Queues the requests for which no upstream has capacity, and dispatches them
 * in rounds when an upstream may have capacity again. */
class Dispatcher
{
public:
  /** Tries to select an upstream for the request again; if none has capacity,
   * the request stays queued. */
  using DispatchCallback = std::function<void()>;

  Dispatcher(http::Loop& aLoop, placing::Placement& aPlacement);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /** Queues a request. \returns the ticket to pass to Remove()
   * \param aSendBy when it has to be sent to meet its latency target */
  admission::Ticket Enqueue(std::uint32_t aRank, base::TimePoint aArrived,
                            base::TimePoint aSendBy,
                            DispatchCallback aCallback);
  void Remove(admission::Ticket aTicket);
  /** An upstream may have capacity: schedules a round. */
  void OnCapacityAvailable();
  std::size_t QueuedRequests() const { return mQueue.Size(); }

private:
  void RunRound();

  http::Loop& mLoop;
  placing::Placement& mPlacement;
  admission::AdmissionQueue mQueue;
  std::unordered_map<admission::Ticket, DispatchCallback> mCallbacks;
  std::uint64_t mLastTicket = 0;
  http::Loop::TimerId mPeriodicRounds;
  /** Set while a round is scheduled. */
  std::optional<http::Loop::TimerId> mNextRound;
};

} // namespace auburnmux::entry
