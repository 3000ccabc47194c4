#pragma once

#include <variant>
#include <vector>

#include "idempotency/src/ClaimLogAction.h"

namespace auburnmux::idempotency {

/** Sends a claim to the owner of the key's partition. */
struct SendClaimRequest
{
  AttemptNumber mAttempt;
  IdempotencyKey mKey;
  RequestHash mRequestHash;
};

/** Sends the attempt's outcome to the owner of the key's partition. */
struct SendClaimOutcome
{
  AttemptNumber mAttempt;
  IdempotencyKey mKey;
  Outcome mOutcome;
};

/** Tells the partition's owner that the attempt never dispatched and never
 * will. */
struct SendClaimRelease
{
  AttemptNumber mAttempt;
  IdempotencyKey mKey;
};

/** Answers a query about a claim to the host that asked. */
struct SendClaimQueryAnswer
{
  base::HostId mTo;
  AttemptNumber mAttempt;
  IdempotencyKey mKey;
  HolderState mState = HolderState::NotKnown;
  Outcome mOutcome;
};

/** Dispatches the attempt's request, immediately and only once. */
struct Dispatch
{
  AttemptNumber mAttempt;
};

/** Why a request was not run. */
enum class NotRunReason
{
  /** No claim could be recorded, for example because the platform is
   * unreachable. */
  Unavailable,
  /** No answer came before the deadline. */
  Deadline,
  /** The key was used with a different request (422). */
  Mismatch,
  /** The key's time is too far in the future. */
  FutureKey,
  /** This host has too many attempts open. */
  TooManyAttempts,
};

/** Answers the caller that the attempt didn't run and never will. */
struct AnswerNotRun
{
  AttemptNumber mAttempt;
  NotRunReason mReason = NotRunReason::Unavailable;
};

/** Answers the caller that it isn't known whether a request with this key ran.
 * This attempt didn't run. */
struct AnswerNotKnown
{
  AttemptNumber mAttempt;
};

/** Answers the caller with the outcome of an earlier request with this key. */
struct AnswerRan
{
  AttemptNumber mAttempt;
  Outcome mOutcome;
};

/** An action that the daemon must perform for a ClaimClient. */
using ClaimClientAction =
  std::variant<SendClaimRequest, SendClaimOutcome, SendClaimRelease,
               SendClaimQueryAnswer, Dispatch, AnswerNotRun, AnswerNotKnown,
               AnswerRan>;
using ClaimClientActions = std::vector<ClaimClientAction>;

} // namespace auburnmux::idempotency
