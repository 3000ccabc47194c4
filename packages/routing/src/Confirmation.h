#pragma once

#include "base/Base.h"

#include <optional>

namespace auburnmux::routing {

/**
 * Tracks when the configuration was last known to be the newest one. A host
 * that is out of touch with the source can't tell a route that doesn't exist
 * from one that was added since.
 */
class Confirmation
{
public:
  /** Maximum age of a confirmation that counts as recent. While the source
   * answers, it is confirmed every 1.5 s. */
  static constexpr base::Duration kMaxAge = std::chrono::milliseconds(2500);

  /** The configuration was the newest one at \a aTime. Earlier times than
   * before are ignored: the reports of other hosts may cross. */
  void Confirm(base::TimePoint aTime)
  {
    if (!mConfirmedAt || *mConfirmedAt < aTime) {
      mConfirmedAt = aTime;
    }
  }

  /** \returns the time since the last confirmation; none before the first. */
  std::optional<base::Duration> Age(base::TimePoint aNow) const
  {
    return mConfirmedAt ? std::optional(aNow - *mConfirmedAt) : std::nullopt;
  }
  /** \returns whether a missing route doesn't exist. */
  bool IsRecent(base::TimePoint aNow) const
  {
    const auto age = Age(aNow);
    return age && *age <= kMaxAge;
  }

private:
  std::optional<base::TimePoint> mConfirmedAt;
};

} // namespace auburnmux::routing
