#pragma once

#include "idempotency/Idempotency.h"

#include <memory>

namespace auburnmux::daemon {

/** What a non-idempotent request learns about its idempotency key. */
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

/** How requests claim their idempotency keys. */
class ClaimInterface
{
public:
  virtual ~ClaimInterface() = default;
  /**
   * Claims \a aKey. Exactly one event follows, possibly before the return. A
   * granted claim whose observer is gone is released.
   */
  virtual idempotency::AttemptNumber Start(
    const idempotency::IdempotencyKey& aKey, idempotency::RequestHash aHash,
    std::weak_ptr<ClaimObserver> aObserver) = 0;
  /** The dispatched request ran. */
  virtual void OnOutcome(idempotency::AttemptNumber aAttempt,
                         const idempotency::Outcome& aOutcome) = 0;
  /** Whether the dispatched request ran is not known. */
  virtual void OnLost(idempotency::AttemptNumber aAttempt) = 0;
  /** The granted request certainly did not start. */
  virtual void OnNotStarted(idempotency::AttemptNumber aAttempt) = 0;
};

} // namespace auburnmux::daemon
