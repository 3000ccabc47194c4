#pragma once

#include <optional>
#include <string>

namespace auburnmux::peer {

/**
 * The CURVE key pair that all hosts of a fleet hold, as Z85 text of 40
 * characters each. A process that doesn't hold it can't talk to a host.
 */
struct FleetKey
{
  std::string mPublic;
  std::string mSecret;
};

/** \returns whether both parts are well-formed Z85 keys. */
bool IsValid(const FleetKey& aKey);

/** \returns a new random key pair. */
FleetKey CreateFleetKey();

} // namespace auburnmux::peer
