#pragma once

#include "base/Base.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace auburnmux::telemetry {

/**
 * Buffers log lines and writes them to a file descriptor without blocking.
 * Lines that don't fit into the buffer are dropped and counted; the count is
 * logged once there is space again.
 */
class BoundedLog
{
public:
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{ 256 } << 10U;

  /** \param aDescriptor is made non-blocking, but not closed: the caller owns
   * it. */
  explicit BoundedLog(int aDescriptor);

  void Add(std::string_view aLine);
  /** Writes as much of the buffer as possible without blocking. */
  void Flush();

  std::uint64_t Dropped() const { return mDropped; }

private:
  int mDescriptor;
  std::string mBuffer;
  std::uint64_t mDropped = 0;
  std::uint64_t mUnreportedDrops = 0;
};

/**
 * Sets \a aLog as the sink of spdlog's default logger. \a aLog must outlive the
 * logger. Call it once at process start.
 */
void InstallLog(BoundedLog& aLog);

} // namespace auburnmux::telemetry
