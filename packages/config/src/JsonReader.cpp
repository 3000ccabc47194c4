#include "config/src/JsonReader.h"

#include "config/src/internal/JsonTreeBuilder.h"

namespace auburnmux::config {

std::optional<JsonValue> ReadJson(std::string_view aText,
                                  const std::string& aFile,
                                  base::Findings& aFindings,
                                  const JsonBounds& aBounds)
{
  if (aText.size() > aBounds.mText.Count()) {
    aFindings.Add({ aFile, 1, 1 }, "file has " + std::to_string(aText.size()) +
                                     " bytes; at most " +
                                     std::to_string(aBounds.mText.Count()) +
                                     " are allowed");
    return std::nullopt;
  }
  internal::TokenTracker tracker;
  internal::JsonTreeBuilder builder(aFile, aBounds, tracker, aFindings);
  const char* begin = aText.data();
  const internal::CountingIterator first(begin, &tracker);
  const internal::CountingIterator last(begin + aText.size(), &tracker);
  if (!nlohmann::json::sax_parse(first, last, &builder)) {
    return std::nullopt;
  }
  return builder.TakeRoot();
}

} // namespace auburnmux::config
