#pragma once

#include "auburnmux/src/Session.h"

#include <string>
#include <vector>

namespace auburnmux::tool {

/** How far a version has come into force. */
struct InForceReport
{
  /** False when the list of hosts could not be read. */
  bool mIsListKnown = false;
  std::size_t mHosts = 0;
  /** Hosts that report an older version, and which. */
  std::vector<std::string> mBehind;
  /** Hosts that don't answer. */
  std::vector<std::string> mSilent;
  /** Time until the last host had it, or until the wait ended. */
  base::Duration mTook{};

  bool IsEverywhere() const
  {
    return mIsListKnown && mBehind.empty() && mSilent.empty();
  }
};

/**
 * Asks every listed host until all report the version or a higher one, at
 * most for \a aWait. Hosts that have it are not asked again.
 */
InForceReport WaitUntilInForce(Session& aSession, base::ConfigVersion aVersion,
                               base::Duration aWait);

} // namespace auburnmux::tool
