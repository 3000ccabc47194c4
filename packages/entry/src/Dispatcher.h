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
  struct Callbacks
  {
    /** Tries to select an upstream for the request again; if none has capacity,
     * the request stays queued. */
    std::function<void()> mTryPlace;
    /** The request won't be reached in time and is to be refused. */
    std::function<void()> mRefuse;
  };

  Dispatcher(http::Loop& aLoop, placing::Placement& aPlacement);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /** Queues a request, whose ticket is set here. \returns the ticket */
  admission::Ticket Enqueue(admission::QueuedRequest aRequest,
                            Callbacks aCallbacks);
  /** Replaces what is known of a queued request. */
  void Update(admission::Ticket aTicket, admission::QueuedRequest aRequest);
  /** Records that a queued request is being sent. */
  void OnSent(admission::Ticket aTicket);
  /** Records that a request is being sent that didn't wait. */
  void OnSentDirectly(const admission::QueuedRequest& aRequest)
  {
    mQueue.OnSentDirectly(aRequest);
  }
  /** \returns whether a request that arrives now needn't wait behind others.
   */
  bool IsNext(const admission::QueuedRequest& aRequest)
  {
    return mQueue.IsNext(mLoop.Now(), aRequest);
  }
  void Remove(admission::Ticket aTicket);
  /** An upstream may have capacity: schedules a round. */
  void OnCapacityAvailable();
  std::size_t QueuedRequests() const { return mQueue.Size(); }

private:
  void RunRound();
  void RefuseExcess();

  http::Loop& mLoop;
  placing::Placement& mPlacement;
  admission::AdmissionQueue mQueue;
  std::unordered_map<admission::Ticket, Callbacks> mCallbacks;
  std::uint64_t mLastTicket = 0;
  http::Loop::TimerId mPeriodicRounds;
  /** Set while a round is scheduled. */
  std::optional<http::Loop::TimerId> mNextRound;
};

} // namespace auburnmux::entry
