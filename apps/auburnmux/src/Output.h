#pragma once

#include <cstdint>
#include <ostream>

namespace auburnmux::tool {

/** Where a command writes results and messages. */
struct Output
{
  std::ostream& mOut;
  std::ostream& mError;
};

/** What the process returns. */
enum class ExitCode : std::uint8_t
{
  Done = 0,
  Failed = 1,
  BadInput = 2
};

} // namespace auburnmux::tool
