#pragma once

#include "base/Base.h"

#include <string>
#include <tuple>

namespace auburnmux::config {

/** An IPv4 address in dotted form and a TCP port. */
struct Endpoint
{
  std::string mAddress;
  base::PortNumber mPort;

  /** \returns `ADDRESS:PORT`. */
  std::string Text() const
  {
    return mAddress + ':' + std::to_string(mPort.Count());
  }

  friend bool operator==(const Endpoint& aLeft, const Endpoint& aRight)
  {
    return aLeft.mAddress == aRight.mAddress && aLeft.mPort == aRight.mPort;
  }
  friend bool operator<(const Endpoint& aLeft, const Endpoint& aRight)
  {
    return std::tie(aLeft.mAddress, aLeft.mPort) <
           std::tie(aRight.mAddress, aRight.mPort);
  }
};

} // namespace auburnmux::config
