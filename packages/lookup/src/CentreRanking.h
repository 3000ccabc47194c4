#pragma once

#include "lookup/src/RankedHost.h"

#include <array>
#include <string>
#include <vector>

namespace auburnmux::lookup {

/** Ranks the hosts of one data centre for each bucket of client blocks. */
class CentreRanking
{
public:
  /** A host, the hash of its id and its current (ramped) weight. */
  struct Entry
  {
    HostIndex mIndex;
    std::uint64_t mHash = 0;
    double mWeight = 1.0;

    friend bool operator==(const Entry& aLeft, const Entry& aRight)
    {
      return aLeft.mIndex == aRight.mIndex && aLeft.mHash == aRight.mHash &&
             aLeft.mWeight == aRight.mWeight;
    }
  };

  CentreRanking(base::DataCentreId aId, base::RegionId aRegion);

  /**
   * Ranks \a aEntries unless they equal those of the last call.
   * \a aBucketShare is the fraction of buckets whose local clients get hosts
   * of this data centre first. It is below 1 while all hosts of the data centre
   * ramp up.
   * \returns whether the number of hosts changed.
   */
  bool SetEntries(std::vector<Entry> aEntries, double aBucketShare);

  const base::DataCentreId& Id() const { return mId; }
  const base::RegionId& Region() const { return mRegion; }
  std::size_t HostCount() const { return mEntries.size(); }
  /** \returns whether local clients of the bucket get these hosts first. */
  bool IsPreferredFor(std::uint32_t aBucket) const
  {
    return aBucket * kBucketScale < mBucketShare;
  }
  /** \returns the host at \a aRank, 0 for the best. \pre aRank < RankedCount()
   */
  HostIndex At(std::uint32_t aBucket, std::size_t aRank) const
  {
    return mRankedHosts[(aBucket * kMaxHostsPerLookup) + aRank];
  }
  /** \returns the number of hosts that are ranked for each bucket. */
  std::size_t RankedCount() const
  {
    return mEntries.size() < kMaxHostsPerLookup ? mEntries.size()
                                                : kMaxHostsPerLookup;
  }

private:
  static constexpr double kBucketScale = 1.0 / kBucketCount;

  void RankBucket(std::uint32_t aBucket);

  base::DataCentreId mId;
  base::RegionId mRegion;
  std::vector<Entry> mEntries;
  double mBucketShare = 1.0;
  /** `kMaxHostsPerLookup` entries for each bucket, best host first. */
  std::vector<HostIndex> mRankedHosts;
};

/**
 * \returns the weighted rendezvous score of \a aHash for \a aBucket. A host has
 * the highest score in a fraction of buckets proportional to its weight.
 */
double RendezvousScore(std::uint64_t aHash, std::uint32_t aBucket,
                       double aWeight);

} // namespace auburnmux::lookup
