#pragma once

#include "retries/src/RetryBudget.h"

#include <cstdint>
#include <variant>

namespace auburnmux::retries {

/** An attempt that failed, and its request. */
struct FailedAttempt
{
  base::FailureKind mKind = base::FailureKind::Reset;
  base::WorkKind mWork = base::WorkKind::NonIdempotent;
  /** A byte of the request may have reached the upstream. */
  bool mBytesMayHaveArrived = true;
  /** Part of the response went to the caller, so no other can be sent. */
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

/** Start another attempt at an upstream that was not tried. */
struct RetryElsewhere
{};

/** Answer the caller. */
struct GiveUp
{
  base::WorkOutcome mOutcome = base::WorkOutcome::NotKnown;
};

using AttemptDecision = std::variant<RetryElsewhere, GiveUp>;

/** Decides what follows a failed attempt. */
class AttemptPolicy
{
public:
  static constexpr std::uint32_t kMaxAttempts = 3;
  /** Remaining time below which an attempt is not worth starting. */
  static constexpr base::Duration kLeastRemaining =
    std::chrono::milliseconds(2);

  /** \returns the decision; a retry is taken from \a aBudget. */
  static AttemptDecision Decide(base::TimePoint aNow,
                                const FailedAttempt& aAttempt,
                                RetryBudget& aBudget);
  /** \returns whether this attempt certainly didn't run the work. */
  static bool DidNotRun(const FailedAttempt& aAttempt);
  /** \returns what is known about the whole request. */
  static base::WorkOutcome Outcome(const FailedAttempt& aAttempt);
};

} // namespace auburnmux::retries
