#pragma once

#include "base/Base.h"

#include <variant>
#include <vector>

namespace auburnmux::balancing {

/** What a pick has to respect. */
struct PickRequest
{
  base::WorkClass mClass = base::WorkClass::Short;
  base::WorkKind mKind = base::WorkKind::NonIdempotent;
  /** Upstreams that other attempts of the same request use or used. */
  std::vector<base::UpstreamId> mExclude;
};

/** The upstream to send the attempt to. */
struct Choice
{
  base::UpstreamId mUpstream;
  /** The attempt tests whether an ejected upstream works again. */
  bool mProbe = false;
};

/** Upstreams exist, but none has a free slot for this host: queue. */
struct AllBusy
{};

/** Every upstream is leaving or excluded: use another data centre or refuse. */
struct NoneUsable
{};

using PickResult = std::variant<Choice, AllBusy, NoneUsable>;

} // namespace auburnmux::balancing
