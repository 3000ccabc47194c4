#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace auburnmux::config {

/** Line and column in a text, both from 1; the column counts bytes. */
struct JsonPosition
{
  std::uint32_t mLine = 1;
  std::uint32_t mColumn = 1;
};

struct JsonMember;

/** A JSON value that knows where it starts in its text. */
struct JsonValue
{
  using Array = std::vector<JsonValue>;
  using Object = std::vector<JsonMember>;
  using Data = std::variant<std::nullptr_t, bool, std::int64_t, std::uint64_t,
                            double, std::string, Array, Object>;

  JsonPosition mPosition;
  Data mData;
};

/** A key and its value; an object keeps its members in file order. */
struct JsonMember
{
  std::string mKey;
  JsonPosition mPosition;
  JsonValue mValue;
};

} // namespace auburnmux::config
