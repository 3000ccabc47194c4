#pragma once

#include "base/Base.h"

namespace auburnmux::idempotency {

/**
 * Number of an attempt. It is unique for a host over all of its incarnations,
 * so that a reply to an earlier incarnation never fits a later attempt.
 */
using AttemptNumber = base::Quantity<struct AttemptNumberTag>;

/** The attempt that holds, or wants to hold, a key. */
struct ClaimHolder
{
  base::HostId mHost;
  base::Incarnation mIncarnation;
  AttemptNumber mAttempt;

  friend bool operator==(const ClaimHolder& aLeft, const ClaimHolder& aRight)
  {
    return aLeft.mAttempt == aRight.mAttempt &&
           aLeft.mIncarnation == aRight.mIncarnation &&
           aLeft.mHost == aRight.mHost;
  }
};

} // namespace auburnmux::idempotency
