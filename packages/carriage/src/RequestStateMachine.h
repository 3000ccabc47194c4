#pragma once

#include "carriage/src/RequestAction.h"
#include "carriage/src/ResponseEvidence.h"

#include <variant>

namespace auburnmux::carriage {

/** Limits on the attempts of one request. */
struct RequestRetryPolicy
{
  /** Whether it may run more than once. */
  bool mMayRepeat = false;
  /** Attempts in which an upstream may run it. */
  std::uint32_t mMaxAttempts = 1;
};

/** Wait that is proposed to a caller when upstreams without a free slot
 * rejected its request: about the time until slots become free. */
constexpr base::Duration kFullRetryAfter = std::chrono::milliseconds(300);

/** Wait that is proposed when upstreams with free slots rejected the request.
 * Such a rejection doesn't predict the result of the next attempt, so the wait
 * only keeps callers from retrying in a busy loop. */
constexpr base::Duration kShedRetryAfter = std::chrono::milliseconds(20);

/**
 * State machine of one request at the host that read it; no other host sends
 * the request to upstreams. Events return the actions to execute. Exactly one
 * of Relay, Refuse and Fail ends each request, unless the caller disconnects
 * or a streamed response completes. Refuse is returned only while no upstream
 * can have begun to run the request, and a request that may not be repeated is
 * sent again only in that case.
 */
class RequestStateMachine
{
public:
  explicit RequestStateMachine(const RequestRetryPolicy& aRetryPolicy);

  /** Enough of the request was read to send it to an upstream. */
  RequestActions OnReadyToSend();
  /** Parts of the body are forwarded without being buffered, so that no other
   * attempt can send the whole body. */
  void OnBodyNotBuffered() { mIsBodyBuffered = false; }
  /** The request is refused before an upstream was selected. */
  RequestActions OnRefused(Reason aReason, base::Duration aRetryAfter);
  /** Reply to SelectUpstream: the request is sent to the selected upstream. */
  void OnUpstreamSelected();
  /** Reply to SelectUpstream: no upstream can take the request. */
  RequestActions OnSelectionFailed(Reason aReason, base::Duration aRetryAfter);
  /** The whole response of the attempt was received. */
  RequestActions OnResponse(const ResponseClassification& aClassification);
  /** The attempt failed. \param aMayHaveReached whether any byte of the
   * request may have reached the upstream */
  RequestActions OnAttemptFailed(bool aMayHaveReached);
  /** A response too long to be buffered is relayed as it arrives, beginning
   * with its head. */
  void OnStreaming();
  /** \returns whether another attempt may replace the one in progress: the
   * request may be repeated, its body is buffered, no attempt of it was
   * replaced before, and its attempt limit allows another one. */
  bool MayReplaceAttempt() const;
  /** Another attempt replaces the one in progress.
   * \pre MayReplaceAttempt() */
  void OnAttemptReplaced();
  /** The deadline of the request passed. */
  RequestActions OnDeadlineExceeded();
  /**
   * The host is about to exit and needs an end of the request now.
   * \param aMayHaveReached whether any byte of the request may have reached the
   * upstream of the attempt in progress
   */
  RequestActions OnStopping(bool aMayHaveReached, base::Duration aRetryAfter);
  RequestActions OnCallerGone();

  bool IsEnded() const { return std::holds_alternative<Ended>(mPhase); }
  /** \returns whether an upstream may have begun to run the request. */
  bool MayHaveRun() const { return mMayHaveRun; }
  /** \returns the wait to propose to the caller of a rejected request. */
  base::Duration RejectedRetryAfter() const
  {
    return mHadFreeSlot ? kShedRetryAfter : kFullRetryAfter;
  }
  /** \returns the number of attempts made so far. */
  std::uint32_t Attempts() const { return mAttempts; }

private:
  struct Reading
  {};
  struct Selecting
  {};
  struct Attempting
  {};
  struct Streaming
  {};
  struct Ended
  {};
  using Phase = std::variant<Reading, Selecting, Attempting, Streaming, Ended>;

  template<typename Wanted>
  bool Is() const
  {
    return std::holds_alternative<Wanted>(mPhase);
  }
  RequestActions SelectAgain(bool aUsesRetryBudget);
  RequestActions End(RequestAction aAction);

  RequestRetryPolicy mRetryPolicy;
  Phase mPhase;
  std::uint32_t mAttempts = 0;
  /** Attempts in which an upstream may have begun to run the request. */
  std::uint32_t mRuns = 0;
  /** Attempts that didn't run: the upstream was unreachable or rejected. */
  std::uint32_t mRejections = 0;
  bool mMayHaveRun = false;
  bool mIsReplaced = false;
  bool mIsBodyBuffered = true;
  /** Whether the last rejection came from an upstream with a free slot. */
  bool mHadFreeSlot = false;
};

} // namespace auburnmux::carriage
