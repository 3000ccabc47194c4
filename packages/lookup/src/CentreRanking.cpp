#include "lookup/src/CentreRanking.h"

#include <cmath>

namespace auburnmux::lookup {

namespace {

/** Spreads consecutive bucket numbers over the hash range. */
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

bool CentreRanking::SetEntries(std::vector<Entry> aEntries, double aShare)
{
  mShare = aShare;
  if (aEntries == mEntries) {
    return false;
  }
  const bool isCountChanged = aEntries.size() != mEntries.size();
  mEntries = std::move(aEntries);
  mRanked.assign(mEntries.empty() ? 0 : kBuckets * kMaxListed, HostIndex());
  for (std::uint32_t bucket = 0; bucket < kBuckets && !mEntries.empty();
       ++bucket) {
    Rank(bucket);
  }
  return isCountChanged;
}

void CentreRanking::Rank(std::uint32_t aBucket)
{
  std::array<double, kMaxListed> scores{};
  HostIndex* places = &mRanked[aBucket * kMaxListed];
  std::size_t count = 0;
  for (const Entry& entry : mEntries) {
    const double score = RendezvousScore(entry.mHash, aBucket, entry.mWeight);
    std::size_t place = count < kMaxListed ? count++ : kMaxListed;
    // Insertion into the short sorted list of the best.
    while (place > 0 && score > scores[place - 1]) {
      if (place < kMaxListed) {
        scores[place] = scores[place - 1];
        places[place] = places[place - 1];
      }
      --place;
    }
    if (place < kMaxListed) {
      scores[place] = score;
      places[place] = entry.mIndex;
    }
  }
}

} // namespace auburnmux::lookup
