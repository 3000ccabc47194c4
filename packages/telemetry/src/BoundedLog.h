#pragma once

#include "base/Base.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace auburnmux::telemetry {

/**
 * Takes log lines into a bounded buffer and writes them to a descriptor
 * without ever blocking. Lines beyond the buffer are dropped and counted; the
 * count is logged once there is room again.
 */
class BoundedLog
{
public:
  static constexpr std::size_t kMaxBuffered = std::size_t{ 256 } << 10U;

  /** \param aDescriptor is made non-blocking; it stays the caller's */
  explicit BoundedLog(int aDescriptor);

  void Add(std::string_view aLine);
  /** Writes what the descriptor takes now. */
  void Flush();

  std::uint64_t Dropped() const { return mDropped; }

private:
  int mDescriptor;
  std::string mBuffer;
  std::uint64_t mDropped = 0;
  std::uint64_t mUnreported = 0;
};

/**
 * Makes \a aLog, which outlives it, the sink of all log lines. To be called
 * once at the start of a process.
 */
void InstallLog(BoundedLog& aLog);

} // namespace auburnmux::telemetry
