#pragma once

#include "base/Base.h"
#include "config/src/Snapshot.h"

namespace auburnmux::config {

/** A version with its digest, as named by the platform or a peer. */
struct VersionTag
{
  base::ConfigVersion mVersion;
  Digest mDigest;

  friend bool operator==(const VersionTag& aLeft, const VersionTag& aRight)
  {
    return aLeft.mVersion == aRight.mVersion && aLeft.mDigest == aRight.mDigest;
  }
};

} // namespace auburnmux::config
