#pragma once

#include "carriage/src/LifeAction.h"

#include <variant>

namespace auburnmux::carriage {

/** What is promised to a request, as its route and its caller say. */
struct RequestTerms
{
  /** Whether it may run more than once. */
  bool mMayRepeat = false;
  /** Upstreams that may run it. */
  std::uint32_t mMaxAttempts = 1;
};

/** What a complete response of an upstream means. */
struct ResponseMeaning
{
  /** The upstream says that the request did not run. */
  bool mIsNotRun = false;
  /** It ran and failed; another upstream may do better. */
  bool mIsFailure = false;
  /** It did not run although the upstream had a free slot. */
  bool mHadRoom = false;
};

/** Wait that is proposed to a caller when upstreams without room rejected its
 * request: about the time in which slots get free. */
constexpr base::Duration kFullRetryAfter = std::chrono::milliseconds(300);

/** The same when upstreams with free slots rejected it, which says nothing of
 * the next attempt: only so long that callers don't spin. */
constexpr base::Duration kShedRetryAfter = std::chrono::milliseconds(20);

/**
 * The life of one request at the host that read it, which is its only sender.
 * Events go in, actions come out; exactly one of Relay, Refuse and Fail ends
 * each life, unless the caller leaves. Refuse comes only while no upstream can
 * have begun to run the request, and a request that may not be repeated is
 * sent again only in that case.
 */
class RequestLife
{
public:
  explicit RequestLife(const RequestTerms& aTerms);

  /** The request was read far enough to be sent. */
  LifeActions OnReadable();
  /** Parts of its body are passed on that aren't kept, so that no other attempt
   * can send it whole. */
  void OnBodyPassedOn() { mIsBodyKept = false; }
  /** The request is refused without a search for an upstream. */
  LifeActions OnRefused(Reason aReason, base::Duration aRetryAfter);
  /** Answers Seek: an upstream was found and the request goes there. */
  void OnPlaced();
  /** Answers Seek: there is no place for the request. */
  LifeActions OnNoPlace(Reason aReason, base::Duration aRetryAfter);
  /** The attempt's whole response arrived. */
  LifeActions OnResponse(const ResponseMeaning& aMeaning);
  /** The attempt failed. \param aMayHaveReached whether any byte of the
   * request may have reached the upstream */
  LifeActions OnAttemptFailed(bool aMayHaveReached);
  /** The head of a response that is too long to be kept is relayed. */
  void OnStreaming();
  /** \returns whether the attempt under way may be given up for another one:
   * the request may be repeated, and this happened to it at most once. */
  bool MayReplaceAttempt() const;
  /** Another attempt takes the place of the one under way.
   * \pre MayReplaceAttempt() */
  void OnAttemptReplaced();
  /** The request's time is up. */
  LifeActions OnTimeUp();
  LifeActions OnCallerGone();

  bool IsEnded() const { return std::holds_alternative<Ended>(mPhase); }
  /** \returns whether an upstream may have begun to run it. */
  bool MayHaveRun() const { return mMayHaveRun; }
  /** \returns the wait to propose to the caller of a rejected request. */
  base::Duration RejectedRetryAfter() const
  {
    return mHadRoom ? kShedRetryAfter : kFullRetryAfter;
  }
  /** \returns attempts made so far. */
  std::uint32_t Attempts() const { return mAttempts; }

private:
  struct Reading
  {};
  struct Seeking
  {};
  struct Attempting
  {};
  struct Streaming
  {};
  struct Ended
  {};
  using Phase = std::variant<Reading, Seeking, Attempting, Streaming, Ended>;

  template<typename Wanted>
  bool Is() const
  {
    return std::holds_alternative<Wanted>(mPhase);
  }
  LifeActions SeekAgain(bool aIsRepeat);
  LifeActions End(LifeAction aAction);

  RequestTerms mTerms;
  Phase mPhase;
  std::uint32_t mAttempts = 0;
  /** Attempts in which an upstream may have begun to run it. */
  std::uint32_t mRuns = 0;
  /** Attempts that no upstream ran: unreachable or rejected. */
  std::uint32_t mRejections = 0;
  bool mMayHaveRun = false;
  bool mIsReplaced = false;
  bool mIsBodyKept = true;
  /** Whether the last rejection came from an upstream with a free slot. */
  bool mHadRoom = false;
};

} // namespace auburnmux::carriage
