#pragma once

#include <cstdint>
#include <string>

#include "idempotency/Idempotency.h"

namespace auburnmux::idempotency::test {

/** \returns a key created at \a aTime; \a aNumber makes it unique. */
inline IdempotencyKey MakeKey(base::WallTime aTime, std::uint64_t aNumber)
{
  std::string bytes(IdempotencyKey::kSize, '\0');
  auto ms = static_cast<std::uint64_t>(aTime.time_since_epoch().count());
  for (std::size_t it = 6; it-- > 0; ms >>= 8U) {
    bytes[it] = static_cast<char>(ms & 255U);
  }
  bytes[6] = 0x70;
  bytes[8] = static_cast<char>(0x80);
  for (std::size_t it = 16; it-- > 9; aNumber >>= 8U) {
    bytes[it] = static_cast<char>(aNumber & 255U);
  }
  return *IdempotencyKey::FromBytes(bytes);
}

constexpr base::WallTime kStartWall{ std::chrono::milliseconds(1790000000000) };

/** \returns both clocks \a aMs after the start of a test, with the wall clock
 * off by \a aSkewMs. */
inline Now At(std::int64_t aMs, std::int64_t aSkewMs = 0)
{
  return { base::TimePoint(std::chrono::milliseconds(aMs)),
           kStartWall + std::chrono::milliseconds(aMs + aSkewMs) };
}

} // namespace auburnmux::idempotency::test
