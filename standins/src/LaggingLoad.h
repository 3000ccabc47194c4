#pragma once

#include "base/Base.h"

#include <cstddef>
#include <deque>

namespace auburnmux::standins {

/** Remembers the requests in flight, to report them with a lag. */
class LaggingLoad
{
public:
  void Record(std::size_t aInFlight, base::TimePoint aNow);
  /** \returns the requests in flight \a aLag ago, to 20 ms. */
  std::size_t Report(base::TimePoint aNow, base::Duration aLag);

private:
  struct Sample
  {
    base::TimePoint mTime;
    std::size_t mInFlight;
  };
  std::deque<Sample> mSamples;
  std::size_t mReported = 0;
};

} // namespace auburnmux::standins
