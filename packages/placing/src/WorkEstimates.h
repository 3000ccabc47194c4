#pragma once

#include "base/Base.h"

#include <array>
#include <string>
#include <unordered_map>

namespace auburnmux::placing {

/** Why an upstream may have an object at hand. */
enum class Warmth
{
  /** This host sent it a request for the object lately. */
  Recent,
  /** It is a home of the object in this host's region. */
  Home,
  /** It is a home of the object in another region. */
  RemoteHome,
  /** No reason is known. */
  None
};

constexpr std::size_t kWarmthCount = 4;

/**
 * Expected work time of a kind of request, learned for each reason that an
 * upstream may have the object at hand. No split into warm and cold work is
 * needed: the mean of each reason already weighs them.
 */
class WorkEstimates
{
public:
  /** \param aKind names the route and service */
  void Learn(const std::string& aKind, Warmth aWarmth, base::Duration aWork,
             base::Duration aLatencyTarget);
  base::Duration Expect(const std::string& aKind, Warmth aWarmth,
                        base::Duration aLatencyTarget) const;

private:
  using Means = std::array<base::Duration, kWarmthCount>;

  static Means InitialMeans(base::Duration aLatencyTarget);

  std::unordered_map<std::string, Means> mMeans;
};

} // namespace auburnmux::placing
