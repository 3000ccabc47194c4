#pragma once

#include <sstream>
#include <string>
#include <string_view>

namespace auburnmux::base {

/**
 * Builds the one key=value line of a log event. Values with spaces, quotes or
 * equals signs are quoted; control characters are replaced by '?', so that
 * input from outside can't forge a line.
 */
class LogLine
{
public:
  explicit LogLine(std::string_view aEvent) { Put("event", aEvent); }

  template<typename Value>
  LogLine& With(std::string_view aKey, const Value& aValue)
  {
    std::ostringstream out;
    out << aValue;
    Put(aKey, out.str());
    return *this;
  }

  /** \returns the line without a line end. */
  const std::string& Text() const { return mText; }

private:
  void Put(std::string_view aKey, std::string_view aValue);

  std::string mText;
};

void LogInfo(const LogLine& aLine);
void LogWarning(const LogLine& aLine);

} // namespace auburnmux::base
