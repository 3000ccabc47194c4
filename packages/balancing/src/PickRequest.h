#pragma once

#include "base/Base.h"

#include <variant>
#include <vector>

namespace auburnmux::balancing {

/** Request properties and exclusions for UpstreamPool::Pick. */
struct PickRequest
{
  base::WorkClass mClass = base::WorkClass::Short;
  base::WorkKind mKind = base::WorkKind::NonIdempotent;
  /** Upstreams already used by attempts of the same request. */
  std::vector<base::UpstreamId> mExclude;
};

/** The picked upstream. */
struct Choice
{
  base::UpstreamId mUpstream;
  /** The attempt probes an ejected upstream. */
  bool mProbe = false;
};

/** Usable upstreams exist, but none has a free slot for this host: queue the
 * request. */
struct AllBusy
{};

/** Every upstream is leaving, ejected, excluded or without slots for this
 * host: use another data centre or refuse the request. */
struct NoneUsable
{};

using PickResult = std::variant<Choice, AllBusy, NoneUsable>;

} // namespace auburnmux::balancing
