#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <xxhash.h>

namespace auburnmux::standins {

/** base::DigestHex() over data that arrives in parts. */
class Digest
{
public:
  Digest()
    : mState(XXH3_createState(), XXH3_freeState)
  {
    XXH3_128bits_reset(mState.get());
  }

  void Add(std::string_view aPart)
  {
    XXH3_128bits_update(mState.get(), aPart.data(), aPart.size());
  }

  /** \returns the digest of all parts as 32 hexadecimal digits. */
  std::string Hex() const
  {
    const XXH128_hash_t it = XXH3_128bits_digest(mState.get());
    std::string hex(33, '\0');
    std::snprintf(hex.data(), hex.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(it.high64),
                  static_cast<unsigned long long>(it.low64));
    hex.pop_back();
    return hex;
  }

private:
  std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t*)> mState;
};

} // namespace auburnmux::standins
