#pragma once

#include "upstreams/src/UpstreamRecord.h"

#include <variant>
#include <vector>

namespace auburnmux::upstreams {

/** A process of an upstream may be used. */
struct UpstreamAppeared
{
  UpstreamRecord mRecord;
};

/** Something about it changed; it is the same process. */
struct UpstreamChanged
{
  UpstreamRecord mRecord;
};

/** It gets no new requests; those in flight go on. */
struct UpstreamLeaving
{
  base::UpstreamId mId;
};

/** It is gone. Requests in flight there may still be answered. */
struct UpstreamGone
{
  base::UpstreamId mId;
};

using UpstreamEvent = std::variant<UpstreamAppeared, UpstreamChanged,
                                   UpstreamLeaving, UpstreamGone>;
using UpstreamEvents = std::vector<UpstreamEvent>;

} // namespace auburnmux::upstreams
