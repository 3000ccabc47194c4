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
 * Parses the answer of `GET /v1/objects?prefix=P`.
 * \returns nothing if any entry is invalid, because the users of the list rely
 * on it being complete.
 */
std::optional<std::vector<ListedObject>> ParseObjectList(
  std::string_view aText);

} // namespace auburnmux::objects
