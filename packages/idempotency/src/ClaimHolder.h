#pragma once

#include "base/Base.h"

namespace auburnmux::idempotency {

/**
 * Number of an attempt. It is unique across all incarnations of a host, so that
 * a reply to an earlier incarnation never matches a later attempt.
 */
using AttemptNumber = base::Quantity<struct AttemptNumberTag>;

/** Identifies an attempt that holds or claims a key. */
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
