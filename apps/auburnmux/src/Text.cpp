#include "auburnmux/src/Text.h"

#include <algorithm>
#include <ctime>

namespace auburnmux::tool {

void PrintTable(const TableRows& aRows, std::ostream& aOut)
{
  std::vector<std::size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t it = 0; it < row.size(); ++it) {
      widths[it] = std::max(widths[it], row[it].size());
    }
  }
  for (const auto& row : aRows) {
    std::string line;
    for (std::size_t it = 0; it < row.size(); ++it) {
      line += row[it];
      if (it + 1 < row.size()) {
        line.append(widths[it] - row[it].size() + 2, ' ');
      }
    }
    aOut << line << '\n';
  }
}

std::string TimeText(base::WallTime aTime)
{
  const std::time_t seconds =
    std::chrono::floor<std::chrono::seconds>(aTime).time_since_epoch().count();
  std::tm parts{};
  char buf[32];
  if (gmtime_r(&seconds, &parts) == nullptr ||
      std::strftime(buf, sizeof buf, "%Y-%m-%dT%H:%M:%SZ", &parts) == 0) {
    return "?";
  }
  return buf;
}

std::string PercentEncoded(const std::string& aText)
{
  constexpr const char* kHex = "0123456789ABCDEF";
  std::string encoded;
  for (const char it : aText) {
    const auto byte = static_cast<unsigned char>(it);
    const bool isPlain = (byte >= 'a' && byte <= 'z') ||
                         (byte >= 'A' && byte <= 'Z') ||
                         (byte >= '0' && byte <= '9') || byte == '-' ||
                         byte == '.' || byte == '_' || byte == '~';
    if (isPlain) {
      encoded += it;
    } else {
      encoded += { '%', kHex[byte >> 4U], kHex[byte & 15U] };
    }
  }
  return encoded;
}

std::string Printable(std::string aText)
{
  std::replace_if(
    aText.begin(), aText.end(),
    [](char aCharacter) {
      return static_cast<unsigned char>(aCharacter) < 0x20 ||
             aCharacter == 0x7f;
    },
    '?');
  return aText;
}

void PrintJson(const nlohmann::json& aJson, std::ostream& aOut)
{
  aOut << aJson.dump(2, ' ', false, nlohmann::json::error_handler_t::replace)
       << '\n';
}

} // namespace auburnmux::tool
