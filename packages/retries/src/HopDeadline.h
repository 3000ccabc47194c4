#pragma once

#include "base/Base.h"

#include <optional>
#include <string>
#include <string_view>

namespace auburnmux::retries {

/**
 * A request's deadline on this host's clock. The header `Request-Deadline-Ms`
 * carries remaining time, so hosts need no common clock.
 */
class HopDeadline
{
public:
  static constexpr std::string_view kHeader = "request-deadline-ms";
  /** Longer deadlines are shortened to this. */
  static constexpr std::chrono::milliseconds kLongest = std::chrono::hours(1);

  /**
   * \returns the deadline of a request that arrived at \a aArrival; none when
   * \a aHeader is not a plain decimal number.
   */
  static std::optional<HopDeadline> Parse(base::TimePoint aArrival,
                                          std::string_view aHeader);
  /** \returns the deadline of a request without the header. */
  static HopDeadline Default(base::TimePoint aArrival, base::Duration aDefault);

  base::TimePoint Time() const { return mTime; }
  /** \returns zero when the deadline has passed. */
  base::Duration Remaining(base::TimePoint aNow) const;
  /**
   * \returns the header for the next hop: the remaining time less the way
   * there and back, in whole milliseconds rounded down. None when less than
   * one is left: don't send.
   */
  std::optional<std::string> NextHop(base::TimePoint aNow,
                                     base::Duration aRoundTrip) const;

private:
  explicit HopDeadline(base::TimePoint aTime)
    : mTime(aTime)
  {
  }

  base::TimePoint mTime;
};

} // namespace auburnmux::retries
