#pragma once

#include "base/Base.h"
#include "config/src/JsonValue.h"

#include <optional>
#include <string>
#include <string_view>

namespace auburnmux::config {

/** Bounds of one JSON text; all of them are checked before a value is kept. */
struct JsonBounds
{
  base::ByteCount mText{ 1'000'000 };
  std::size_t mDepth = 12;
  std::size_t mValues = 200'000;
  std::size_t mMembersOfObject = 256;
  std::size_t mElementsOfArray = 8'192;
  base::ByteCount mString{ 4'096 };
};

/**
 * Reads a JSON text. A syntax error, a broken bound or a doubled key becomes a
 * finding; nothing throws on any input.
 * \returns the root, or nothing when the text has a syntax error or breaks a
 * bound.
 */
std::optional<JsonValue> ReadJson(std::string_view aText,
                                  const std::string& aFile,
                                  base::Findings& aFindings,
                                  const JsonBounds& aBounds = {});

} // namespace auburnmux::config
