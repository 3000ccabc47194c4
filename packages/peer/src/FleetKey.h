#pragma once

#include <optional>
#include <string>

namespace auburnmux::peer {

/**
 * CURVE key pair that all hosts of a fleet share; each key is Z85 text of 40
 * characters. Hosts refuse connections of processes without it.
 */
struct FleetKey
{
  std::string mPublic;
  std::string mSecret;
};

/** \returns whether both keys are well-formed Z85 text. */
bool IsValid(const FleetKey& aKey);

/** \returns a new random key pair. */
FleetKey CreateFleetKey();

} // namespace auburnmux::peer
