#pragma once

#include "base/Base.h"

#include <optional>
#include <string>
#include <string_view>

namespace auburnmux::retries {

/**
 * A request's deadline on this host's clock. The header `Request-Deadline-Ms`
 * carries the remaining time, so the hosts' clocks needn't be synchronized.
 */
class HopDeadline
{
public:
  static constexpr std::string_view kHeader = "request-deadline-ms";
  /** Longer deadlines are clamped to this. */
  static constexpr std::chrono::milliseconds kMaxDeadline =
    std::chrono::hours(1);

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
   * \returns the header value for the next hop: the remaining time minus the
   * round trip, rounded down to whole milliseconds. None when less than 1 ms
   * is left; the request must not be sent then.
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
