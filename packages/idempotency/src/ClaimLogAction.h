#pragma once

#include <variant>
#include <vector>

#include "idempotency/src/ClaimHolder.h"
#include "idempotency/src/IdempotencyKey.h"
#include "idempotency/src/Outcome.h"
#include "idempotency/src/PlatformCall.h"
#include "idempotency/src/RequestHash.h"

namespace auburnmux::idempotency {

/** The answer of a partition's log to a claim. */
enum class ClaimVerdict
{
  /** The attempt may dispatch once. */
  Granted,
  /** The request ran before, and the reply carries its outcome. Sent to the
   * attempt that reported the outcome, it means that the outcome is recorded,
   * and carries none. */
  Ran,
  /** Another attempt holds the key and its outcome is not known. */
  NotKnown,
  /** The key was used with a different request. */
  Mismatch,
  /** The claim could not be recorded; nothing was granted. */
  Unavailable,
  /** The key is older than the retention window. */
  Expired,
};

/** Asks for the right to dispatch a request once. */
struct ClaimCall
{
  ClaimHolder mHolder;
  IdempotencyKey mKey;
  RequestHash mRequestHash;
};

/** Sends the verdict to the host of the attempt. Only Ran may carry an
 * outcome. */
struct SendClaimReply
{
  ClaimHolder mTo;
  ClaimVerdict mVerdict = ClaimVerdict::Unavailable;
  Outcome mOutcome;
};

/** Asks the holder of a claim whether it dispatched. */
struct SendClaimQuery
{
  ClaimHolder mTo;
  IdempotencyKey mKey;
};

/** What the holder of a claim knows about its attempt. */
enum class HolderState
{
  /** It may still dispatch, or has dispatched and waits for the upstream. */
  InProgress,
  /** It never dispatched and never will. */
  NeverDispatched,
  /** It may have dispatched; the holder's host doesn't know an outcome. */
  NotKnown,
  Ran,
};

/** The holder's answer to a query. \a mHolder has the host and incarnation of
 * the sender. */
struct ClaimQueryAnswer
{
  ClaimHolder mHolder;
  IdempotencyKey mKey;
  HolderState mState = HolderState::NotKnown;
  Outcome mOutcome;
};

/** An action that the daemon must perform for a ClaimLog. */
using ClaimLogAction =
  std::variant<ListSegments, ReadSegment, WriteSegment, DeleteSegment,
               SendClaimReply, SendClaimQuery>;
using ClaimLogActions = std::vector<ClaimLogAction>;

} // namespace auburnmux::idempotency
