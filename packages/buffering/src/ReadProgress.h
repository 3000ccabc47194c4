#pragma once

#include "base/Base.h"

#include <cstdint>
#include <optional>

namespace auburnmux::buffering {

/** When a client last read, from samples of the bytes that it has acknowledged
 * while the host held some for it. */
class ReadProgress
{
public:
  /** Time between two samples above which the second one starts anew, as
   * nothing is known of the time between. */
  static constexpr base::Duration kMaxGap = std::chrono::seconds(1);

  /** Adds a sample. \returns when the client last made progress, or when the
   * observation began */
  base::TimePoint OnSample(base::TimePoint aNow, std::uint64_t aAcknowledged);
  /** The host holds nothing for the client. */
  void Reset() { mLast.reset(); }

private:
  struct Sample
  {
    base::TimePoint mTime;
    std::uint64_t mAcknowledged = 0;
    base::TimePoint mLastProgress;
  };
  std::optional<Sample> mLast;
};

} // namespace auburnmux::buffering
