#include "idempotency/src/IdempotencyKey.h"

#include <algorithm>
#include <chrono>

namespace auburnmux::idempotency {
namespace {

constexpr std::size_t kTextSize = 36;
constexpr std::string_view kDigits = "0123456789abcdef";

bool IsDashPosition(std::size_t aPosition)
{
  return aPosition == 8 || aPosition == 13 || aPosition == 18 ||
         aPosition == 23;
}

std::optional<unsigned> HexValue(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return static_cast<unsigned>(aDigit - '0');
  }
  if (aDigit >= 'a' && aDigit <= 'f') {
    return static_cast<unsigned>(aDigit - 'a') + 10U;
  }
  if (aDigit >= 'A' && aDigit <= 'F') {
    return static_cast<unsigned>(aDigit - 'A') + 10U;
  }
  return std::nullopt;
}

std::string_view WithoutQuotes(std::string_view aText)
{
  const bool isQuoted = aText.size() == kTextSize + 2 && aText.front() == '"' &&
                        aText.back() == '"';
  return isQuoted ? aText.substr(1, kTextSize) : aText;
}

} // namespace

std::optional<IdempotencyKey> IdempotencyKey::Parse(std::string_view aText)
{
  const std::string_view text = WithoutQuotes(aText);
  if (text.size() != kTextSize) {
    return std::nullopt;
  }
  std::string bytes(kSize, '\0');
  std::size_t nibble = 0;
  for (std::size_t it = 0; it < kTextSize; ++it) {
    if (IsDashPosition(it)) {
      if (text[it] != '-') {
        return std::nullopt;
      }
      continue;
    }
    const auto value = HexValue(text[it]);
    if (!value) {
      return std::nullopt;
    }
    char& byte = bytes[nibble / 2];
    byte = static_cast<char>((static_cast<unsigned char>(byte) << 4U) | *value);
    ++nibble;
  }
  return FromBytes(bytes);
}

std::optional<IdempotencyKey> IdempotencyKey::FromBytes(std::string_view aBytes)
{
  if (aBytes.size() != kSize) {
    return std::nullopt;
  }
  const auto version = static_cast<unsigned char>(aBytes[6]) >> 4U;
  const auto variant = static_cast<unsigned char>(aBytes[8]) >> 6U;
  if (version != 7U || variant != 2U) {
    return std::nullopt;
  }
  IdempotencyKey key;
  std::copy(aBytes.begin(), aBytes.end(), key.mBytes.begin());
  return key;
}

base::WallTime IdempotencyKey::Time() const
{
  std::int64_t ms = 0;
  for (std::size_t it = 0; it < 6; ++it) {
    ms = ms * 256 + static_cast<unsigned char>(mBytes[it]);
  }
  return base::WallTime(std::chrono::milliseconds(ms));
}

std::string_view IdempotencyKey::Bytes() const
{
  return { mBytes.data(), mBytes.size() };
}

std::string IdempotencyKey::Text() const
{
  std::string text;
  for (const char it : mBytes) {
    if (IsDashPosition(text.size())) {
      text += '-';
    }
    const auto byte = static_cast<unsigned char>(it);
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 15U];
  }
  return text;
}

} // namespace auburnmux::idempotency
