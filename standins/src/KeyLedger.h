#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace auburnmux::standins {

/** Counts executions by idempotency key across upstreams of a process. */
class KeyLedger
{
public:
  /** \returns whether \a aKey had been executed before. */
  bool Record(const std::string& aKey) { return ++mExecutions[aKey] > 1; }
  const std::map<std::string, std::uint64_t>& Executions() const
  {
    return mExecutions;
  }

private:
  std::map<std::string, std::uint64_t> mExecutions;
};

} // namespace auburnmux::standins
