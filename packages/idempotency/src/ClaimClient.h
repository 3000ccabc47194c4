#pragma once

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <iterator>
#include <map>
#include <utility>

#include "base/Base.h"
#include "idempotency/src/ClaimClientAction.h"
#include "idempotency/src/ClosedAttempts.h"
#include "idempotency/src/Retention.h"

namespace auburnmux::idempotency {

struct ClaimClientSettings
{
  Retention mRetention;
  /** How long an attempt waits for the owner's reply before it gives up. */
  base::Duration mReplyWait = std::chrono::milliseconds(1500);
  std::size_t mMaxAttempts = 8192;
  /** Delays between two sends of an outcome that isn't recorded yet. */
  base::Duration mFirstResend = std::chrono::milliseconds(500);
  base::Duration mLongestResend = std::chrono::seconds(30);
  /** How long a recorded outcome is kept for queries of other owners. */
  base::Duration mRecordedKept = std::chrono::seconds(30);
};

/**
 * The dispatching host's attempts on idempotency keys. An attempt ends in
 * exactly one of: a dispatch, or an answer to the caller. Once it has ended
 * without a dispatch, no grant makes it dispatch.
 *
 * The caller passes a tick at least every 50 ms and takes the actions at once:
 * the request is dispatched in the same turn of the loop as the event.
 */
class ClaimClient
{
public:
  ClaimClient(base::Incarnation aIncarnation, ClaimClientSettings aSettings);

  /** Starts an attempt for a caller's request.
   * \returns its number and the first actions. */
  std::pair<AttemptNumber, ClaimClientActions> Start(const IdempotencyKey& aKey,
                                                     RequestHash aRequestHash,
                                                     const Now& aNow);

  /** The owner's reply to \a aAttempt. A reply that comes late, twice or for
   * an attempt of an earlier incarnation never makes it dispatch. */
  ClaimClientActions OnReply(AttemptNumber aAttempt, ClaimVerdict aVerdict,
                             Outcome aOutcome, const Now& aNow);

  /** The upstream answered a dispatched attempt. */
  ClaimClientActions OnOutcome(AttemptNumber aAttempt, Outcome aOutcome,
                               const Now& aNow);

  /** The answer to a dispatched attempt is lost: it may have run. */
  void OnLost(AttemptNumber aAttempt);

  /** A dispatched attempt provably did not start, at no upstream: no byte was
   * sent, or the upstream said so. It ends as not dispatched. */
  ClaimClientActions OnNotStarted(AttemptNumber aAttempt);

  /** \a aFrom asks about the claim of \a aHolder, a host of this id. */
  ClaimClientActions OnQuery(const base::HostId& aFrom,
                             const ClaimHolder& aHolder,
                             const IdempotencyKey& aKey, const Now& aNow);

  /** Ends attempts whose deadline has passed and repeats outcomes. */
  ClaimClientActions OnTick(const Now& aNow);

  /** Attempts that wait, run or have an outcome. */
  std::size_t OpenCount() const { return mAttempts.size(); }
  std::size_t ClosedCount() const { return mClosed.Size(); }

private:
  enum class State
  {
    Waiting,
    Dispatched,
    Ran,
    Recorded,
  };

  struct Attempt
  {
    IdempotencyKey mKey;
    RequestHash mRequestHash;
    State mState = State::Waiting;
    /** Waiting: end of the wait. Ran: next send. Recorded: end of keeping. */
    base::TimePoint mDue;
    base::Duration mResend{};
    Outcome mOutcome;
  };
  using Attempts = std::map<AttemptNumber, Attempt>;

  ClaimClientActions RefuseAtOnce(AttemptNumber aAttempt,
                                  const IdempotencyKey& aKey,
                                  RequestHash aRequestHash, const Now& aNow);
  ClaimClientAction AnswerFrom(const Attempt& aFirst, AttemptNumber aAttempt,
                               RequestHash aRequestHash) const;
  ClaimClientActions OnLateReply(AttemptNumber aAttempt, ClaimVerdict aVerdict);
  static ClaimClientAction AnswerFrom(ClaimVerdict aVerdict,
                                      AttemptNumber aAttempt, Outcome aOutcome);
  /** Ends an attempt whose claim may be recorded or become so. */
  void CloseAndRelease(Attempts::iterator aIt, ClaimClientActions& aOut);
  void Close(Attempts::iterator aIt);
  void Erase(Attempts::iterator aIt);
  HolderState StateOf(AttemptNumber aAttempt) const;
  void Resend(AttemptNumber aNumber, Attempt& aAttempt, const Now& aNow,
              ClaimClientActions& aOut);
  void OnDue(Attempts::iterator aIt, const Now& aNow, ClaimClientActions& aOut);

  base::Incarnation mIncarnation;
  ClaimClientSettings mSettings;
  AttemptNumber mLastAttempt;
  Attempts mAttempts;
  /** The attempt that dispatched, for the keys of open attempts. Attempts that
   * wait are left out: the owner decides between them. */
  boost::unordered_flat_map<IdempotencyKey, AttemptNumber,
                            std::hash<IdempotencyKey>>
    mDispatchedKeys;
  ClosedAttempts mClosed;
};

} // namespace auburnmux::idempotency
