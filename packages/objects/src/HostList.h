#pragma once

#include "base/Base.h"
#include "http/Http.h"

#include <optional>
#include <string_view>
#include <vector>

namespace auburnmux::objects {

/** One host of the platform's list, which may be out of date. */
struct ListedHost
{
  base::HostId mId;
  /** The port is 0 if the list contains only an address. */
  http::Endpoint mEndpoint;
  base::DataCentreId mDataCentre;
  bool mIsLeaving = false;
};

/**
 * Parses the answer of `GET /v1/hosts`. Ignores unknown keys and skips invalid
 * entries, because the list is only a hint.
 * \returns nothing if the text isn't a JSON array.
 */
std::optional<std::vector<ListedHost>> ParseHostList(std::string_view aText);

} // namespace auburnmux::objects
