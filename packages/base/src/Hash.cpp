#include "base/src/Hash.h"

#include <cmath>

#include <cstdio>
#include <xxhash.h>

namespace auburnmux::base {

std::uint64_t Hash64(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

std::uint64_t CombineHash(std::uint64_t aHash, std::uint64_t aOther)
{
  // MurmurHash3 finalizer over the XOR of aHash and the multiplied aOther.
  std::uint64_t it = aHash ^ (aOther * 0x9e3779b97f4a7c15ULL);
  it = (it ^ (it >> 33U)) * 0xff51afd7ed558ccdULL;
  it = (it ^ (it >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
  return it ^ (it >> 33U);
}

double HashFraction(std::uint64_t aHash)
{
  constexpr int kMantissaBits = 53;
  return std::ldexp(static_cast<double>(aHash >> (64 - kMantissaBits)),
                    -kMantissaBits);
}

std::string DigestHex(std::string_view aText)
{
  const XXH128_hash_t it = XXH3_128bits(aText.data(), aText.size());
  char buf[33];
  std::snprintf(buf, sizeof buf, "%016llx%016llx",
                static_cast<unsigned long long>(it.high64),
                static_cast<unsigned long long>(it.low64));
  return std::string(buf, 32);
}

} // namespace auburnmux::base
