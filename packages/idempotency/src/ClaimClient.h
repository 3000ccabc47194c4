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
  /** How long an attempt waits for the reply of the partition's owner. */
  base::Duration mReplyTimeout = std::chrono::milliseconds(1500);
  std::size_t mMaxAttempts = 8192;
  /** Initial and maximum delay between two sends of an outcome that isn't known
   * to be recorded. */
  base::Duration mInitialResendDelay = std::chrono::milliseconds(500);
  base::Duration mMaxResendDelay = std::chrono::seconds(30);
  /** How long a recorded outcome is kept to answer queries of other hosts that
   * own the partition. */
  base::Duration mRecordedRetention = std::chrono::seconds(30);
};

/**
 * Tracks the attempts of a dispatching host to run requests with idempotency
 * keys. Each attempt either dispatches or is answered to the caller without a
 * dispatch, never both. A grant that arrives after such an answer doesn't make
 * the attempt dispatch.
 *
 * The user of this class must call OnTick at least every 50 ms and perform the
 * returned actions immediately, so that a request is dispatched in the same
 * iteration of the event loop as the event that allowed it.
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

  /** Handles the owner's reply to \a aAttempt. A late or duplicate reply, or
   * one to an attempt of an earlier incarnation, never causes a dispatch. */
  ClaimClientActions OnReply(AttemptNumber aAttempt, ClaimVerdict aVerdict,
                             Outcome aOutcome, const Now& aNow);

  /** Handles the upstream's response to a dispatched attempt. */
  ClaimClientActions OnOutcome(AttemptNumber aAttempt, Outcome aOutcome,
                               const Now& aNow);

  /** Handles the loss of the response to a dispatched attempt, which may have
   * run. */
  void OnLost(AttemptNumber aAttempt);

  /** Handles a dispatched attempt that is known not to have started at any
   * upstream: no byte was sent, or the upstream said that it didn't start. The
   * attempt ends as one that never dispatched. */
  ClaimClientActions OnNotStarted(AttemptNumber aAttempt);

  /** Answers a query of \a aFrom about the claim of \a aHolder, whose host id
   * is that of this host. */
  ClaimClientActions OnQuery(const base::HostId& aFrom,
                             const ClaimHolder& aHolder,
                             const IdempotencyKey& aKey, const Now& aNow);

  /** Ends attempts whose deadline has passed and resends outcomes. */
  ClaimClientActions OnTick(const Now& aNow);

  /** Number of attempts that wait, run or have an outcome. */
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
    /** Waiting: the deadline for a reply. Ran: the next resend. Recorded: the
     * removal. Unused while dispatched. */
    base::TimePoint mDue;
    base::Duration mResendDelay{};
    Outcome mOutcome;
  };
  using Attempts = std::map<AttemptNumber, Attempt>;

  ClaimClientActions AnswerLocally(AttemptNumber aAttempt,
                                   const IdempotencyKey& aKey,
                                   RequestHash aRequestHash, const Now& aNow);
  ClaimClientAction AnswerFrom(const Attempt& aFirst, AttemptNumber aAttempt,
                               RequestHash aRequestHash) const;
  ClaimClientActions OnLateReply(AttemptNumber aAttempt, ClaimVerdict aVerdict);
  static ClaimClientAction AnswerFrom(ClaimVerdict aVerdict,
                                      AttemptNumber aAttempt, Outcome aOutcome);
  /** Ends an attempt without a dispatch and releases its claim, which may be
   * recorded already or later. */
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
  /** Maps the keys of open attempts to the attempt that dispatched. Waiting
   * attempts aren't included: the partition's owner decides which of them is
   * granted. */
  boost::unordered_flat_map<IdempotencyKey, AttemptNumber,
                            std::hash<IdempotencyKey>>
    mDispatchedKeys;
  ClosedAttempts mClosed;
};

} // namespace auburnmux::idempotency
