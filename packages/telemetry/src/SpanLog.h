#pragma once

#include "base/Base.h"
#include "telemetry/src/TraceContext.h"

#include <deque>
#include <string>

namespace auburnmux::telemetry {

/** A traced step of a request on one host. */
struct Span
{
  TraceContext mContext;
  /** Parent span id; 0 for the first span of a request on this host. */
  std::uint64_t mParent = 0;
  /** One of lookup, admission, queue, attempt and answer. */
  std::string mName;
  std::string mService;
  std::string mTarget;
  base::TimePoint mStart;
  base::Duration mDuration{};
  std::string mResult;
};

/** Keeps the most recent spans of a host, for `GET /v1/spans`. */
class SpanLog
{
public:
  explicit SpanLog(std::size_t aCapacity = 2048);

  void Add(Span aSpan);

  /** \returns one key=value line per span, only those of \a aTraceId unless it
   * is empty. */
  std::string Text(const std::string& aTraceId) const;

private:
  std::size_t mCapacity;
  std::deque<Span> mSpans;
};

} // namespace auburnmux::telemetry
