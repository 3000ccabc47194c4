#pragma once

#include "config/src/JsonReader.h"
#include "config/src/internal/CountingIterator.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace auburnmux::config::internal {

/** Receiver of nlohmann's SAX events that builds a tree with positions. */
class JsonTreeBuilder
{
public:
  JsonTreeBuilder(const std::string& aFile, const JsonBounds& aBounds,
                  const TokenTracker& aTracker, base::Findings& aFindings);

  bool null();
  bool boolean(bool aValue);
  bool number_integer(std::int64_t aValue);
  bool number_unsigned(std::uint64_t aValue);
  bool number_float(double aValue, const std::string& aText);
  bool string(std::string& aValue);
  bool binary(nlohmann::json::binary_t& aValue);
  bool start_object(std::size_t aSize);
  bool key(std::string& aKey);
  bool end_object();
  bool start_array(std::size_t aSize);
  bool end_array();
  bool parse_error(std::size_t aOffset, const std::string& aToken,
                   const nlohmann::json::exception& aError);

  /** \returns the root once the whole text was read. */
  std::optional<JsonValue> TakeRoot();

private:
  bool Put(JsonPosition aPosition, JsonValue::Data aData);
  bool PutElement(JsonValue& aParent, JsonValue aValue);
  bool Open(JsonValue::Data aEmpty);
  bool Fail(JsonPosition aPosition, std::string aMessage);

  const std::string& mFile;
  const JsonBounds& mBounds;
  const TokenTracker& mTracker;
  base::Findings& mFindings;
  std::optional<JsonValue> mRoot;
  std::vector<JsonValue*> mOpen;
  JsonValue* mLastPut = nullptr;
  std::size_t mValues = 0;
};

} // namespace auburnmux::config::internal
