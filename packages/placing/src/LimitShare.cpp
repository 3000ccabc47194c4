#include "placing/src/LimitShare.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnmux::placing {

namespace {

/** Weight of a host in the upstream's region; others have a weight of 1. */
constexpr double kLocalWeight = 4;

/** Hosts that get a part, for each request per second of the limit, and at
 * least. Each of them may send one request at once, on top of its rate. */
constexpr double kSharersPerRate = 1.5;
constexpr double kMinSharers = 3;

/** Bursts of all hosts together: requests for each request per second of the
 * limit, and at least. */
constexpr double kBurstPerRate = 1;
constexpr double kMinBurst = 2;

} // namespace

LimitShare ShareLimit(double aLimit, const base::UpstreamId& aUpstream,
                      const base::RegionId& aUpstreamRegion,
                      const base::HostId& aSelf,
                      const std::vector<LimitSharer>& aSharers)
{
  struct Ranked
  {
    bool mIsLocal = false;
    std::uint64_t mScore = 0;
    bool mIsSelf = false;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(aSharers.size());
  const std::uint64_t upstream = base::Hash64(aUpstream.Text());
  for (const LimitSharer& it : aSharers) {
    ranked.push_back(
      { it.mRegion == aUpstreamRegion,
        base::CombineHash(upstream, base::Hash64(it.mHost.Text())),
        it.mHost == aSelf });
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const Ranked& aLeft, const Ranked& aRight) {
              return std::pair(aLeft.mIsLocal, aLeft.mScore) >
                     std::pair(aRight.mIsLocal, aRight.mScore);
            });
  const double limit = std::max(aLimit, 0.0);
  const auto sharers =
    static_cast<std::size_t>(kSharersPerRate * limit + kMinSharers);
  ranked.resize(std::min(ranked.size(), sharers));
  double weights = 0;
  double own = 0;
  for (const Ranked& it : ranked) {
    const double weight = it.mIsLocal ? kLocalWeight : 1;
    weights += weight;
    own = it.mIsSelf ? weight : own;
  }
  if (own == 0) {
    return { 0, 0 };
  }
  return { limit * own / weights,
           std::max(1.0, (kBurstPerRate * limit + kMinBurst) /
                           static_cast<double>(ranked.size())) };
}

} // namespace auburnmux::placing
