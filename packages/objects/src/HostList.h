#pragma once

#include "base/Base.h"
#include "http/Http.h"

#include <optional>
#include <string_view>
#include <vector>

namespace auburnmux::objects {

/** One host of the platform's list, which lags behind reality. */
struct ListedHost
{
  base::HostId mId;
  /** The port is 0 when the list names an address only. */
  http::Endpoint mEndpoint;
  base::DataCentreId mDataCentre;
  bool mIsLeaving = false;
};

/**
 * Reads the answer of `GET /v1/hosts`. Unknown keys are ignored and entries
 * that can't be read are left out, because the list is only a hint.
 * \returns nothing when the text is no list at all.
 */
std::optional<std::vector<ListedHost>> ParseHostList(std::string_view aText);

} // namespace auburnmux::objects
