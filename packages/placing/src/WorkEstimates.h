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
  /** It is the object's home in this host's region. */
  Home,
  /** It takes the home's place in this region while that is full. */
  SpareHome,
  /** It is a home of the object in another region. */
  RemoteHome,
  /** No reason is known. */
  None
};

constexpr std::size_t kWarmthCount = 5;

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
  /** \returns whether any work of the kind was measured. */
  bool IsKnown(const std::string& aKind) const
  {
    return mMeans.count(aKind) > 0;
  }

private:
  using Means = std::array<base::Duration, kWarmthCount>;

  static Means InitialMeans(base::Duration aLatencyTarget);

  std::unordered_map<std::string, Means> mMeans;
};

} // namespace auburnmux::placing
