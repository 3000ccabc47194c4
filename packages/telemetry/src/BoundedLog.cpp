#include "telemetry/src/BoundedLog.h"

#include <fcntl.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace auburnmux::telemetry {

namespace {

/** spdlog sink that adds formatted lines to a BoundedLog. */
class Sink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
  explicit Sink(BoundedLog& aLog)
    : mLog(aLog)
  {
  }

protected:
  // These names come from spdlog. NOLINTBEGIN(readability-identifier-naming)
  void sink_it_(const spdlog::details::log_msg& aMessage) override
  {
    spdlog::memory_buf_t buf;
    formatter_->format(aMessage, buf);
    mLog.Add({ buf.data(), buf.size() });
  }
  void flush_() override { mLog.Flush(); }
  // NOLINTEND(readability-identifier-naming)

private:
  BoundedLog& mLog;
};

} // namespace

BoundedLog::BoundedLog(int aDescriptor)
  : mDescriptor(aDescriptor)
{
  const int flags = fcntl(mDescriptor, F_GETFL, 0);
  if (flags >= 0) {
    fcntl(mDescriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void BoundedLog::Add(std::string_view aLine)
{
  if (mBuffer.size() + aLine.size() > kMaxBufferedBytes) {
    ++mDropped;
    ++mUnreportedDrops;
    return;
  }
  if (mUnreportedDrops > 0) {
    mBuffer +=
      "event=log_dropped lines=" + std::to_string(mUnreportedDrops) + '\n';
    mUnreportedDrops = 0;
  }
  mBuffer += aLine;
}

void BoundedLog::Flush()
{
  while (!mBuffer.empty()) {
    const ssize_t n = write(mDescriptor, mBuffer.data(), mBuffer.size());
    if (n <= 0) {
      // The descriptor is full or has no reader. The rest stays buffered; lines
      // beyond kMaxBufferedBytes are dropped.
      return;
    }
    mBuffer.erase(0, static_cast<std::size_t>(n));
  }
}

void InstallLog(BoundedLog& aLog)
{
  const auto level = spdlog::get_level();
  spdlog::set_default_logger(
    std::make_shared<spdlog::logger>("", std::make_shared<Sink>(aLog)));
  spdlog::set_level(level);
  spdlog::set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l %v");
}

} // namespace auburnmux::telemetry
