#pragma once

#include "retries/src/RetryBudget.h"

#include <cstdint>
#include <variant>

namespace auburnmux::retries {

/** A failed attempt and the state of its request. */
struct FailedAttempt
{
  base::FailureKind mKind = base::FailureKind::Reset;
  base::WorkKind mWork = base::WorkKind::NonIdempotent;
  /** A byte of the request may have reached the upstream. */
  bool mBytesMayHaveArrived = true;
  /** Part of the response was sent to the caller, so no other can be sent. */
  bool mResponseStarted = false;
  /** An earlier or concurrent attempt may have run the work. */
  bool mOtherMayHaveRun = false;
  /** The request's fingerprint is refused. \sa CrashQuarantine */
  bool mQuarantined = false;
  /** Another entry host sent the request here; that host retries. */
  bool mForwarded = false;
  /** Attempts started so far. */
  std::uint32_t mAttempts = 1;
  /** Time until the deadline. */
  base::Duration mRemaining{};
};

/** Start another attempt at an upstream that was not tried yet. */
struct RetryElsewhere
{};

/** Answer the caller without another attempt. */
struct GiveUp
{
  base::WorkOutcome mOutcome = base::WorkOutcome::NotKnown;
};

using AttemptDecision = std::variant<RetryElsewhere, GiveUp>;

/** Decides whether a failed attempt is retried. */
class AttemptPolicy
{
public:
  static constexpr std::uint32_t kMaxAttempts = 3;
  /** Remaining time below which an attempt is not worth starting. */
  static constexpr base::Duration kMinRemaining = std::chrono::milliseconds(2);

  /** \returns the decision. A retry spends from \a aBudget, except when the
   * connection was refused before any byte was sent. */
  static AttemptDecision Decide(base::TimePoint aNow,
                                const FailedAttempt& aAttempt,
                                RetryBudget& aBudget);
  /** \returns whether it is certain that this attempt didn't run the work. */
  static bool DidNotRun(const FailedAttempt& aAttempt);
  /** \returns whether the request's work was run, over all its attempts. */
  static base::WorkOutcome Outcome(const FailedAttempt& aAttempt);
};

} // namespace auburnmux::retries
