#pragma once

#include "base/Base.h"
#include "telemetry/src/TraceContext.h"

#include <deque>
#include <string>

namespace auburnmux::telemetry {

/** One step of a request on one host. */
struct Span
{
  TraceContext mContext;
  /** Span that caused this one; 0 for the first of the host. */
  std::uint64_t mParent = 0;
  /** lookup, admission, queue, attempt or answer. */
  std::string mName;
  std::string mService;
  std::string mTarget;
  base::TimePoint mStart;
  base::Duration mDuration{};
  std::string mResult;
};

/** The most recent spans of a host, for `GET /v1/spans`. */
class SpanLog
{
public:
  explicit SpanLog(std::size_t aCapacity = 2048);

  void Add(Span aSpan);

  /** \returns one key=value line for each span, of \a aTraceId if not empty. */
  std::string Text(const std::string& aTraceId) const;

private:
  std::size_t mCapacity;
  std::deque<Span> mSpans;
};

} // namespace auburnmux::telemetry
