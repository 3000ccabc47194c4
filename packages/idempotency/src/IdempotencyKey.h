#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

#include "base/Base.h"

namespace auburnmux::idempotency {

/**
 * The value of the header `Idempotency-Key`: a UUID version 7 (RFC 9562). Its
 * first 48 bits are the creation time, by the caller's clock.
 */
class IdempotencyKey
{
public:
  static constexpr std::size_t kSize = 16;

  /**
   * Parses the 36-character form, with or without double quotes.
   * \returns nothing unless it is a UUID of version 7 and variant 10.
   */
  static std::optional<IdempotencyKey> Parse(std::string_view aText);

  /** \returns nothing unless these are the 16 bytes of a UUID version 7. */
  static std::optional<IdempotencyKey> FromBytes(std::string_view aBytes);

  /** \returns the creation time that the key carries, by the caller's clock. */
  base::WallTime Time() const;

  /** \returns the 16 bytes, valid as long as the key. */
  std::string_view Bytes() const;

  /** \returns the 36-character form in lower case. */
  std::string Text() const;

  friend bool operator==(const IdempotencyKey& aLeft,
                         const IdempotencyKey& aRight)
  {
    return aLeft.mBytes == aRight.mBytes;
  }
  friend bool operator!=(const IdempotencyKey& aLeft,
                         const IdempotencyKey& aRight)
  {
    return aLeft.mBytes != aRight.mBytes;
  }
  friend bool operator<(const IdempotencyKey& aLeft,
                        const IdempotencyKey& aRight)
  {
    return aLeft.mBytes < aRight.mBytes;
  }
  friend std::ostream& operator<<(std::ostream& aOut,
                                  const IdempotencyKey& aKey)
  {
    return aOut << aKey.Text();
  }

private:
  IdempotencyKey() = default;

  std::array<char, kSize> mBytes{};
};

} // namespace auburnmux::idempotency

template<>
struct std::hash<auburnmux::idempotency::IdempotencyKey>
{
  std::size_t operator()(
    const auburnmux::idempotency::IdempotencyKey& aKey) const
  {
    return auburnmux::base::Hash64(aKey.Bytes());
  }
};
