#pragma once

#include "base/Base.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburnmux::telemetry {

/**
 * The `traceparent` header of W3C Trace Context: trace id, parent span id and
 * sampling flag of a request.
 */
struct TraceContext
{
  std::uint64_t mTraceHigh = 0;
  std::uint64_t mTraceLow = 0;
  std::uint64_t mSpan = 0;
  bool mIsSampled = true;

  /** \returns the header's value. */
  std::string ToHeader() const;
  /** \returns the trace id as 32 hexadecimal digits. */
  std::string TraceId() const;
};

/** \returns the parsed header, or nothing if it is malformed. */
std::optional<TraceContext> ParseTraceContext(std::string_view aText);

/** \returns the context of a new trace. */
TraceContext StartTrace(base::Random& aRandom);

/** \returns \a aParent with a new span id, for the next hop. */
TraceContext ChildOf(const TraceContext& aParent, base::Random& aRandom);

} // namespace auburnmux::telemetry
