#pragma once

#include "base/Base.h"

#include <array>
#include <string>
#include <unordered_map>

namespace auburnmux::placing {

/** Reason why an upstream may have an object in memory. */
enum class Warmth
{
  /** This host recently sent it a request for the object. */
  Recent,
  /** It is the object's first home. */
  Home,
  /** It is another home in the region of the first one, used while that is
   * full. */
  SpareHome,
  /** It is a home of the object outside the region of the first one. */
  RemoteHome,
  /** There is no known reason. */
  None
};

constexpr std::size_t kWarmthCount = 5;

/**
 * Expected work time by kind of request and by Warmth, as a running mean. Warm
 * and cold work needn't be told apart, as the mean for each Warmth already
 * weights them by their frequency.
 *
 * The first samples of Warmth::None weigh more than later ones, so that the
 * default, a guess from the latency target, doesn't decide for long about a
 * kind without history. Those of the others don't: at a start all objects are
 * cold, and estimates from that time would drive objects from their homes.
 */
class WorkEstimates
{
public:
  /** Adds a measured work time. \param aKind route and service */
  void AddSample(const std::string& aKind, Warmth aWarmth, base::Duration aWork,
                 base::Duration aLatencyTarget);
  /** \returns the expected work time, or a default without samples. */
  base::Duration Estimate(const std::string& aKind, Warmth aWarmth,
                          base::Duration aLatencyTarget) const;
  /** \returns whether any work of the kind was measured. */
  bool IsKnown(const std::string& aKind) const
  {
    return mMeans.count(aKind) > 0;
  }

private:
  struct Mean
  {
    base::Duration mTime{};
    /** Samples so far, at most kMaxCountedSamples. */
    int mSamples = 0;
  };
  using Means = std::array<Mean, kWarmthCount>;

  static Means InitialMeans(base::Duration aLatencyTarget);

  std::unordered_map<std::string, Means> mMeans;
};

} // namespace auburnmux::placing
