#pragma once

#include "base/Base.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnmux::objects {

/** Name and version of one object. */
struct ListedObject
{
  std::string mName;
  base::ObjectVersion mVersion;
};

/**
 * Reads the answer of `GET /v1/objects?prefix=P`.
 * \returns nothing when any entry can't be read, because callers rely on the
 * list being whole.
 */
std::optional<std::vector<ListedObject>> ParseObjectList(
  std::string_view aText);

} // namespace auburnmux::objects
