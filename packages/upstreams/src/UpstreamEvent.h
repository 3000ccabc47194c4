#pragma once

#include "upstreams/src/UpstreamRecord.h"

#include <variant>
#include <vector>

namespace auburnmux::upstreams {

/** A new upstream process may be used. */
struct UpstreamAppeared
{
  UpstreamRecord mRecord;
};

/** The record of the same upstream process changed. */
struct UpstreamChanged
{
  UpstreamRecord mRecord;
};

/** The upstream is draining: no new requests; those in flight continue. */
struct UpstreamLeaving
{
  base::UpstreamId mId;
};

/** The upstream was removed. Requests in flight may still be answered. */
struct UpstreamGone
{
  base::UpstreamId mId;
};

using UpstreamEvent = std::variant<UpstreamAppeared, UpstreamChanged,
                                   UpstreamLeaving, UpstreamGone>;
using UpstreamEvents = std::vector<UpstreamEvent>;

} // namespace auburnmux::upstreams
