#pragma once

#include <sstream>
#include <string>
#include <string_view>

namespace auburnmux::base {

/**
 * Builds the key=value line of a structured log event. Empty values and values
 * with spaces, quotes, backslashes or equals signs are quoted. Control
 * characters are replaced by '?', so that external input can't forge a log
 * line.
 */
class LogLine
{
public:
  explicit LogLine(std::string_view aEvent) { AppendField("event", aEvent); }

  template<typename Value>
  LogLine& With(std::string_view aKey, const Value& aValue)
  {
    std::ostringstream out;
    out << aValue;
    AppendField(aKey, out.str());
    return *this;
  }

  /** \returns the line without a line break. */
  const std::string& Text() const { return mText; }

private:
  void AppendField(std::string_view aKey, std::string_view aValue);

  std::string mText;
};

void LogInfo(const LogLine& aLine);
void LogWarning(const LogLine& aLine);

} // namespace auburnmux::base
