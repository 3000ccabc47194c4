#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnmux::base {

/**
 * \returns the 64-bit xxHash of \a aText. It is the same on every host, so
 * that all hosts compute the same rankings and partitions.
 */
std::uint64_t Hash64(std::string_view aText, std::uint64_t aSeed = 0);

/** \returns \a aHash combined with \a aOther; expects both to be well mixed. */
std::uint64_t CombineHash(std::uint64_t aHash, std::uint64_t aOther);

/** \returns \a aHash scaled to [0, 1). */
double HashFraction(std::uint64_t aHash);

/** \returns the 128-bit xxHash of \a aText as 32 hexadecimal digits. */
std::string DigestHex(std::string_view aText);

} // namespace auburnmux::base
