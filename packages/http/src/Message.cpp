#include "http/src/Message.h"

#include <cctype>
#include <cstdlib>
#include <string_view>

namespace auburnmux::http {

namespace {

std::string PercentDecode(const std::string& aText)
{
  std::string out;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const bool isEscape =
      aText[i] == '%' && i + 2 < aText.size() &&
      std::isxdigit(static_cast<unsigned char>(aText[i + 1])) != 0 &&
      std::isxdigit(static_cast<unsigned char>(aText[i + 2])) != 0;
    if (isEscape) {
      const std::string digits = aText.substr(i + 1, 2);
      out += static_cast<char>(std::strtol(digits.c_str(), nullptr, 16));
      i += 2;
    } else {
      out += aText[i] == '+' ? ' ' : aText[i];
    }
  }
  return out;
}

} // namespace

std::string EncodeQueryValue(const std::string& aText)
{
  constexpr char kDigits[] = "0123456789ABCDEF";
  constexpr std::string_view kAllowed = "-._~";
  std::string out;
  for (const char it : aText) {
    const auto byte = static_cast<unsigned char>(it);
    if (std::isalnum(byte) != 0 || kAllowed.find(it) != kAllowed.npos) {
      out += it;
    } else {
      out += { '%', kDigits[byte >> 4U], kDigits[byte & 15U] };
    }
  }
  return out;
}

std::optional<std::string> QueryValue(const std::string& aQuery,
                                      const std::string& aKey)
{
  std::size_t start = 0;
  while (start <= aQuery.size()) {
    const std::size_t end = std::min(aQuery.find('&', start), aQuery.size());
    const std::string pair = aQuery.substr(start, end - start);
    const std::size_t n = pair.find('=');
    if (pair.substr(0, n) == aKey) {
      return n == std::string::npos ? std::string()
                                    : PercentDecode(pair.substr(n + 1));
    }
    start = end + 1;
  }
  return std::nullopt;
}

} // namespace auburnmux::http
