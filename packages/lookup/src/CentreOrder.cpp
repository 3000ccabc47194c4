#include "lookup/src/CentreOrder.h"

#include <algorithm>
#include <utility>

namespace auburnmux::lookup {

void CentreOrder::Rebuild(const std::vector<CentreRanking>& aCentres)
{
  std::vector<std::pair<std::uint8_t, std::uint64_t>> used;
  for (std::size_t it = 0; it < aCentres.size(); ++it) {
    if (aCentres[it].HostCount() > 0) {
      used.emplace_back(static_cast<std::uint8_t>(it),
                        base::Hash64(aCentres[it].Id().Text()));
    }
  }
  mSize = used.size();
  mOrder.assign(mSize * kBucketCount, 0);
  std::vector<std::pair<double, std::uint8_t>> scores(mSize);
  for (std::uint32_t bucket = 0; bucket < kBucketCount; ++bucket) {
    for (std::size_t it = 0; it < mSize; ++it) {
      const auto weight =
        static_cast<double>(aCentres[used[it].first].HostCount());
      scores[it] = { -RendezvousScore(used[it].second, bucket, weight),
                     used[it].first };
    }
    std::sort(scores.begin(), scores.end());
    for (std::size_t it = 0; it < mSize; ++it) {
      mOrder[(bucket * mSize) + it] = scores[it].second;
    }
  }
}

} // namespace auburnmux::lookup
