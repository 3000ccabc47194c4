#pragma once

#include "lookup/src/RankedHost.h"

#include <array>
#include <string>
#include <vector>

namespace auburnmux::lookup {

/** The hosts of one data centre, ranked for each bucket of client blocks. */
class CentreRanking
{
public:
  /** A host with the weight that counts now. */
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
   * Ranks \a aEntries unless they are those of the last call.
   * \a aShare is the share of the buckets that start with this data centre;
   * below 1 while all its hosts are returning.
   * \returns whether the number of hosts changed.
   */
  bool SetEntries(std::vector<Entry> aEntries, double aShare);

  const base::DataCentreId& Id() const { return mId; }
  const base::RegionId& Region() const { return mRegion; }
  std::size_t HostCount() const { return mEntries.size(); }
  bool IsFirstFor(std::uint32_t aBucket) const
  {
    return aBucket * kBucketScale < mShare;
  }
  /** \returns the host at \a aPlace. \pre aPlace < Listed() */
  HostIndex At(std::uint32_t aBucket, std::size_t aPlace) const
  {
    return mRanked[(aBucket * kMaxListed) + aPlace];
  }
  /** \returns how many hosts are ranked for each bucket. */
  std::size_t Listed() const
  {
    return mEntries.size() < kMaxListed ? mEntries.size() : kMaxListed;
  }

private:
  static constexpr double kBucketScale = 1.0 / kBuckets;

  void Rank(std::uint32_t aBucket);

  base::DataCentreId mId;
  base::RegionId mRegion;
  std::vector<Entry> mEntries;
  double mShare = 1.0;
  std::vector<HostIndex> mRanked;
};

/**
 * \returns the weighted rendezvous score of \a aHash for \a aBucket; the
 * highest wins, in proportion to the weights.
 */
double RendezvousScore(std::uint64_t aHash, std::uint32_t aBucket,
                       double aWeight);

} // namespace auburnmux::lookup
