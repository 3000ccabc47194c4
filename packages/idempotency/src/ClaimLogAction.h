#pragma once

#include <variant>
#include <vector>

#include "idempotency/src/ClaimHolder.h"
#include "idempotency/src/IdempotencyKey.h"
#include "idempotency/src/Outcome.h"
#include "idempotency/src/PlatformCall.h"
#include "idempotency/src/RequestHash.h"

namespace auburnmux::idempotency {

/** What a partition's log answers to a claim. */
enum class ClaimVerdict
{
  /** The attempt may dispatch once. */
  Granted,
  /** The request ran before; the outcome follows. To the attempt that reported
   * the outcome, it says that the outcome is recorded. */
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

/** The answer to the host of the attempt; only Ran carries an outcome. */
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

/** What the holder of a claim knows about it. */
enum class HolderState
{
  /** It may still dispatch, or has and waits for the upstream. */
  InProgress,
  /** It never dispatched and never will. */
  NeverDispatched,
  /** It may have dispatched; no outcome is known to it. */
  NotKnown,
  Ran,
};

/** The holder's answer. \a mHolder has host and incarnation of its sender. */
struct ClaimQueryAnswer
{
  ClaimHolder mHolder;
  IdempotencyKey mKey;
  HolderState mState = HolderState::NotKnown;
  Outcome mOutcome;
};

/** What the daemon is to do for a partition's log. */
using ClaimLogAction =
  std::variant<ListSegments, ReadSegment, WriteSegment, DeleteSegment,
               SendClaimReply, SendClaimQuery>;
using ClaimLogActions = std::vector<ClaimLogAction>;

} // namespace auburnmux::idempotency
