#include "telemetry/src/SpanLog.h"

#include <utility>

namespace auburnmux::telemetry {

SpanLog::SpanLog(std::size_t aCapacity)
  : mCapacity(aCapacity)
{
}

void SpanLog::Add(Span aSpan)
{
  if (mSpans.size() == mCapacity) {
    mSpans.pop_front();
  }
  mSpans.push_back(std::move(aSpan));
}

std::string SpanLog::Text(const std::string& aTraceId) const
{
  std::string text;
  for (const Span& it : mSpans) {
    if (!aTraceId.empty() && it.mContext.TraceId() != aTraceId) {
      continue;
    }
    base::LogLine line("span");
    line.With("trace", it.mContext.TraceId())
      .With("span", it.mContext.mSpan)
      .With("parent", it.mParent)
      .With("name", it.mName)
      .With("service", it.mService)
      .With("target", it.mTarget)
      .With("start_us", std::chrono::duration_cast<std::chrono::microseconds>(
                          it.mStart.time_since_epoch())
                          .count())
      .With("duration_us",
            std::chrono::duration_cast<std::chrono::microseconds>(it.mDuration)
              .count())
      .With("result", it.mResult);
    text += line.Text() + '\n';
  }
  return text;
}

} // namespace auburnmux::telemetry
