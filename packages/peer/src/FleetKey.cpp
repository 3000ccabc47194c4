#include "peer/src/FleetKey.h"

#include <algorithm>
#include <array>
#include <zmq.h>

namespace auburnmux::peer {

namespace {

constexpr std::size_t kKeyCharacters = 40;

bool IsKey(const std::string& aText)
{
  if (aText.size() != kKeyCharacters) {
    return false;
  }
  std::array<std::uint8_t, 32> buf{};
  return zmq_z85_decode(buf.data(), aText.c_str()) != nullptr;
}

} // namespace

bool IsValid(const FleetKey& aKey)
{
  return IsKey(aKey.mPublic) && IsKey(aKey.mSecret);
}

FleetKey CreateFleetKey()
{
  std::array<char, kKeyCharacters + 1> publicKey{};
  std::array<char, kKeyCharacters + 1> secretKey{};
  zmq_curve_keypair(publicKey.data(), secretKey.data());
  return { publicKey.data(), secretKey.data() };
}

} // namespace auburnmux::peer
