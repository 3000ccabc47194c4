#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnmux::base {

/**
 * \returns the 64-bit xxHash of \a aText. It is the same on every host, so
 * that all hosts rank and partition alike.
 */
std::uint64_t Hash64(std::string_view aText, std::uint64_t aSeed = 0);

/** \returns \a aHash mixed with \a aOther (both already well mixed). */
std::uint64_t CombineHash(std::uint64_t aHash, std::uint64_t aOther);

/** \returns \a aHash as a fraction, at least 0 and below 1. */
double HashFraction(std::uint64_t aHash);

/** \returns the 128-bit xxHash of \a aText as 32 hexadecimal digits. */
std::string DigestHex(std::string_view aText);

} // namespace auburnmux::base
