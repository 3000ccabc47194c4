#pragma once

#include "base/Base.h"

#include <optional>
#include <string>

namespace auburnmux::carriage {

/** Classification of a complete response from an upstream. */
struct ResponseClassification
{
  /** Whether the upstream reported that it did not run the request. */
  bool mIsNotRun = false;
  /** Whether the request ran and failed; another upstream may succeed. */
  bool mIsFailure = false;
  /** Whether the upstream rejected it although it had a free slot. */
  bool mHadFreeSlot = false;
};

/** What the head of a response states about the outcome of its request. */
struct ResponseEvidence
{
  int mStatus = 0;
  /** Whether it bears the receipt that an upstream issues for a request that it
   * has run. */
  bool mHasReceipt = false;
  /** Whether it states that the upstream did not and will not run the request.
   */
  bool mStatesNotRun = false;
};

/**
 * Decides to which request a response belongs. The bytes of a faulty upstream
 * can be well-formed, so that only the request's id, which upstreams repeat,
 * shows that they are a response to it. A connection that carried requests
 * before may deliver a response to one of them late or again; on any other
 * connection, a response that doesn't name the request belongs to none.
 * \param aRequestId empty if the client sent none; the request has then no
 * response but one without an id on a connection of its own
 * \param aNamedId the id in the response's head; none if it has none, or
 * several
 */
base::ResponseOwner OwnerOf(const std::string& aRequestId,
                            const std::optional<std::string>& aNamedId,
                            bool aIsFirstRequest);

/**
 * Decides what a response shows about its request: a success needs a receipt,
 * and a status that callers take for a promise that the request did not run
 * needs the upstream's statement. Relaying, repeating the request and refusing
 * it as not run all rest on this classification.
 * \returns none if the response shows no outcome, so that the request may have
 * run and has no response
 * \pre the response belongs to the request, see OwnerOf()
 */
std::optional<ResponseClassification> Classify(
  const ResponseEvidence& aEvidence);

} // namespace auburnmux::carriage
