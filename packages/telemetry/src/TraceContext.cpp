#include "telemetry/src/TraceContext.h"

#include <cstdio>

namespace auburnmux::telemetry {

namespace {

std::optional<std::uint64_t> ParseHex(std::string_view aText)
{
  std::uint64_t value = 0;
  for (const char it : aText) {
    const bool isDigit = it >= '0' && it <= '9';
    const bool isLetter = it >= 'a' && it <= 'f';
    if (!isDigit && !isLetter) {
      return std::nullopt;
    }
    value = value << 4U |
            static_cast<std::uint64_t>(isDigit ? it - '0' : it - 'a' + 10);
  }
  return value;
}

std::string Hex(std::uint64_t aValue)
{
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx",
                static_cast<unsigned long long>(aValue));
  return buf.data();
}

std::uint64_t RandomNonZero(base::Random& aRandom)
{
  return aRandom.Next() | 1U;
}

} // namespace

std::string TraceContext::TraceId() const
{
  return Hex(mTraceHigh) + Hex(mTraceLow);
}

std::string TraceContext::ToHeader() const
{
  return "00-" + TraceId() + '-' + Hex(mSpan) + (mIsSampled ? "-01" : "-00");
}

std::optional<TraceContext> ParseTraceContext(std::string_view aText)
{
  constexpr std::size_t kLength = 55;
  const bool isWellFormed = aText.size() == kLength &&
                            aText.substr(0, 3) == "00-" && aText[35] == '-' &&
                            aText[52] == '-';
  if (!isWellFormed) {
    return std::nullopt;
  }
  const auto high = ParseHex(aText.substr(3, 16));
  const auto low = ParseHex(aText.substr(19, 16));
  const auto span = ParseHex(aText.substr(36, 16));
  const auto flags = ParseHex(aText.substr(53, 2));
  if (!high || !low || !span || !flags || (*high | *low) == 0 || *span == 0) {
    return std::nullopt;
  }
  return TraceContext{ *high, *low, *span, (*flags & 1U) != 0 };
}

TraceContext StartTrace(base::Random& aRandom)
{
  return { RandomNonZero(aRandom), RandomNonZero(aRandom),
           RandomNonZero(aRandom), true };
}

TraceContext ChildOf(const TraceContext& aParent, base::Random& aRandom)
{
  TraceContext child = aParent;
  child.mSpan = RandomNonZero(aRandom);
  return child;
}

} // namespace auburnmux::telemetry
