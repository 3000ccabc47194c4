#pragma once

#include "idempotency/Idempotency.h"

#include <memory>

namespace auburnmux::daemon {

/** Receives the result of claiming an idempotency key. */
class ClaimObserver
{
public:
  virtual ~ClaimObserver() = default;
  /** The request may be dispatched once, by this host. */
  virtual void OnClaimGranted() = 0;
  virtual void OnClaimNotRun(idempotency::NotRunReason aReason) = 0;
  virtual void OnClaimNotKnown() = 0;
  virtual void OnClaimRan(const idempotency::Outcome& aOutcome) = 0;
};

/** Claims idempotency keys for non-idempotent requests. */
class ClaimInterface
{
public:
  virtual ~ClaimInterface() = default;
  /**
   * Claims \a aKey. The observer gets exactly one event, possibly before this
   * function returns. A granted claim whose observer no longer exists is
   * released.
   */
  virtual idempotency::AttemptNumber Start(
    const idempotency::IdempotencyKey& aKey, idempotency::RequestHash aHash,
    std::weak_ptr<ClaimObserver> aObserver) = 0;
  /** Records the outcome of a dispatched request that ran. */
  virtual void OnOutcome(idempotency::AttemptNumber aAttempt,
                         const idempotency::Outcome& aOutcome) = 0;
  /** Reports that it isn't known whether the dispatched request ran. */
  virtual void OnLost(idempotency::AttemptNumber aAttempt) = 0;
  /** Releases the claim of a request that certainly did not start. */
  virtual void OnNotStarted(idempotency::AttemptNumber aAttempt) = 0;
};

} // namespace auburnmux::daemon
