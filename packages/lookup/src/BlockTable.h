#pragma once

#include "lookup/src/BlockTypes.h"
#include "lookup/src/PrefixTable.h"

#include <optional>
#include <vector>

namespace auburnmux::lookup {

/**
 * Maps client addresses to sites. A new version replaces the whole table or is
 * applied as a delta to the previous one.
 */
class BlockTable
{
public:
  /** Replaces the whole content. On an error the table stays unchanged. */
  BlockError Build(BlockVersion aVersion, std::vector<Block<Ipv4>> aIpv4,
                   std::vector<Block<Ipv6Network>> aIpv6);
  /** Applies \a aDelta. On an error the table stays unchanged. */
  BlockError Apply(const BlockDelta& aDelta);

  /** \returns the site of the address; none if no block contains it. */
  std::optional<SiteNumber> Find(Ipv4 aAddress) const
  {
    return mIpv4.Find(aAddress);
  }
  std::optional<SiteNumber> FindIpv6(Ipv6Network aAddress) const
  {
    return mIpv6.Find(aAddress);
  }

  BlockVersion Version() const { return mVersion; }
  std::size_t Size() const { return mIpv4.Size() + mIpv6.Size(); }
  /** \returns the memory that the arrays and indexes allocate. */
  base::ByteCount Memory() const { return mIpv4.Memory() + mIpv6.Memory(); }

  /**
   * \returns the delta from \a aFrom to \a aTo; none if it would exceed
   * `kMaxDeltaChanges`. In that case the whole table has to be sent.
   */
  static std::optional<BlockDelta> Difference(const BlockTable& aFrom,
                                              const BlockTable& aTo);

private:
  BlockVersion mVersion;
  PrefixTable<Ipv4> mIpv4;
  PrefixTable<Ipv6Network> mIpv6;
};

} // namespace auburnmux::lookup
