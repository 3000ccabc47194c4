#include "base/src/LogLine.h"

#include <spdlog/spdlog.h>

namespace auburnmux::base {

void LogLine::AppendField(std::string_view aKey, std::string_view aValue)
{
  if (!mText.empty()) {
    mText += ' ';
  }
  mText += aKey;
  mText += '=';
  const bool isQuoted =
    aValue.empty() || aValue.find_first_of(" =\"\\") != std::string_view::npos;
  if (isQuoted) {
    mText += '"';
  }
  for (const char it : aValue) {
    if (it == '"' || it == '\\') {
      mText += '\\';
    }
    mText += static_cast<unsigned char>(it) < 0x20 ? '?' : it;
  }
  if (isQuoted) {
    mText += '"';
  }
}

void LogInfo(const LogLine& aLine)
{
  spdlog::info("{}", aLine.Text());
}

void LogWarning(const LogLine& aLine)
{
  spdlog::warn("{}", aLine.Text());
}

} // namespace auburnmux::base
