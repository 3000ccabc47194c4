#include "retries/src/HopDeadline.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace auburnmux::retries {

using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;

std::optional<HopDeadline> HopDeadline::Parse(TimePoint aArrival,
                                              std::string_view aHeader)
{
  std::uint64_t value = 0;
  const char* const end = aHeader.data() + aHeader.size();
  const auto [rest, error] = std::from_chars(aHeader.data(), end, value);
  if (error == std::errc::invalid_argument || rest != end) {
    return std::nullopt;
  }
  const auto longest = static_cast<std::uint64_t>(kMaxDeadline.count());
  if (error == std::errc::result_out_of_range) {
    value = longest;
  }
  return HopDeadline(aArrival + milliseconds(static_cast<std::int64_t>(
                                  std::min(value, longest))));
}

HopDeadline HopDeadline::Default(TimePoint aArrival, Duration aDefault)
{
  return HopDeadline(aArrival + std::min<Duration>(aDefault, kMaxDeadline));
}

Duration HopDeadline::Remaining(TimePoint aNow) const
{
  return std::max(mTime - aNow, Duration::zero());
}

std::optional<std::string> HopDeadline::NextHop(TimePoint aNow,
                                                Duration aRoundTrip) const
{
  const auto left =
    std::chrono::floor<milliseconds>(Remaining(aNow) - aRoundTrip);
  if (left.count() < 1) {
    return std::nullopt;
  }
  return std::to_string(left.count());
}

} // namespace auburnmux::retries
