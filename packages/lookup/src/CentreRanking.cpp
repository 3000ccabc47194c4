#include "lookup/src/CentreRanking.h"

#include <cmath>

namespace auburnmux::lookup {

namespace {

/** Odd multiplier that spreads consecutive bucket numbers over 64 bits. */
constexpr std::uint64_t kBucketMix = 0xd6e8feb86659fd93ULL;

} // namespace

double RendezvousScore(std::uint64_t aHash, std::uint32_t aBucket,
                       double aWeight)
{
  constexpr double kScale = 1.0 / 9007199254740992.0; // 2^-53
  const std::uint64_t hash =
    base::CombineHash(aHash, (aBucket + 1) * kBucketMix);
  const double uniform = (static_cast<double>(hash >> 11U) + 0.5) * kScale;
  return -aWeight / std::log(uniform);
}

CentreRanking::CentreRanking(base::DataCentreId aId, base::RegionId aRegion)
  : mId(std::move(aId))
  , mRegion(std::move(aRegion))
{
}

bool CentreRanking::SetEntries(std::vector<Entry> aEntries, double aBucketShare)
{
  mBucketShare = aBucketShare;
  if (aEntries == mEntries) {
    return false;
  }
  const bool isCountChanged = aEntries.size() != mEntries.size();
  mEntries = std::move(aEntries);
  mRankedHosts.assign(mEntries.empty() ? 0 : kBucketCount * kMaxHostsPerLookup,
                      HostIndex());
  for (std::uint32_t bucket = 0; bucket < kBucketCount && !mEntries.empty();
       ++bucket) {
    RankBucket(bucket);
  }
  return isCountChanged;
}

void CentreRanking::RankBucket(std::uint32_t aBucket)
{
  std::array<double, kMaxHostsPerLookup> scores{};
  HostIndex* ranked = &mRankedHosts[aBucket * kMaxHostsPerLookup];
  std::size_t count = 0;
  for (const Entry& entry : mEntries) {
    const double score = RendezvousScore(entry.mHash, aBucket, entry.mWeight);
    std::size_t rank =
      count < kMaxHostsPerLookup ? count++ : kMaxHostsPerLookup;
    // Insertion sort into the short list of the highest scores.
    while (rank > 0 && score > scores[rank - 1]) {
      if (rank < kMaxHostsPerLookup) {
        scores[rank] = scores[rank - 1];
        ranked[rank] = ranked[rank - 1];
      }
      --rank;
    }
    if (rank < kMaxHostsPerLookup) {
      scores[rank] = score;
      ranked[rank] = entry.mIndex;
    }
  }
}

} // namespace auburnmux::lookup
