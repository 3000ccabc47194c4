#include "lookup/src/BlockTable.h"

#include <algorithm>

namespace auburnmux::lookup {

namespace {

template<typename Address>
void Sort(std::vector<Block<Address>>& aBlocks)
{
  std::sort(aBlocks.begin(), aBlocks.end(),
            [](const Block<Address>& aLeft, const Block<Address>& aRight) {
              return aLeft.mStart < aRight.mStart;
            });
}

} // namespace

BlockError BlockTable::Build(BlockVersion aVersion,
                             std::vector<Block<Ipv4>> aIpv4,
                             std::vector<Block<Ipv6Network>> aIpv6)
{
  if (aIpv4.size() + aIpv6.size() > kMaxBlocks) {
    return BlockError::TooLarge;
  }
  Sort(aIpv4);
  Sort(aIpv6);
  for (const BlockError error : { PrefixTable<Ipv4>::Check(aIpv4),
                                  PrefixTable<Ipv6Network>::Check(aIpv6) }) {
    if (error != BlockError::None) {
      return error;
    }
  }
  mIpv4.Assign(aIpv4);
  mIpv6.Assign(aIpv6);
  mVersion = aVersion;
  return BlockError::None;
}

BlockError BlockTable::Apply(const BlockDelta& aDelta)
{
  if (aDelta.mFrom != mVersion || aDelta.mTo <= aDelta.mFrom) {
    return BlockError::WrongVersion;
  }
  const std::size_t changes = aDelta.mIpv4.size() + aDelta.mIpv6.size();
  if (changes > kMaxDeltaChanges || Size() + changes > kMaxBlocks) {
    return BlockError::TooLarge;
  }
  // Most deltas only assign prefixes to other sites, which needs no new arrays.
  const auto ipv4Sites = mIpv4.FindSiteChangePositions(aDelta.mIpv4);
  const auto ipv6Sites = mIpv6.FindSiteChangePositions(aDelta.mIpv6);
  if (ipv4Sites && ipv6Sites) {
    mIpv4.SetSites(*ipv4Sites, aDelta.mIpv4);
    mIpv6.SetSites(*ipv6Sites, aDelta.mIpv6);
    mVersion = aDelta.mTo;
    return BlockError::None;
  }
  PrefixTable<Ipv4> ipv4;
  PrefixTable<Ipv6Network> ipv6;
  BlockError error = mIpv4.Apply(aDelta.mIpv4, ipv4);
  if (error == BlockError::None) {
    error = mIpv6.Apply(aDelta.mIpv6, ipv6);
  }
  if (error == BlockError::None) {
    mIpv4 = std::move(ipv4);
    mIpv6 = std::move(ipv6);
    mVersion = aDelta.mTo;
  }
  return error;
}

std::optional<BlockDelta> BlockTable::Difference(const BlockTable& aFrom,
                                                 const BlockTable& aTo)
{
  BlockDelta out{ aFrom.mVersion, aTo.mVersion, {}, {} };
  const bool isBounded =
    aFrom.mIpv4.Difference(aTo.mIpv4, kMaxDeltaChanges, out.mIpv4) &&
    aFrom.mIpv6.Difference(aTo.mIpv6, kMaxDeltaChanges - out.mIpv4.size(),
                           out.mIpv6);
  return isBounded ? std::optional(std::move(out)) : std::nullopt;
}

} // namespace auburnmux::lookup
