#pragma once

#include "lookup/src/BlockTypes.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace auburnmux::lookup {

/**
 * Prefixes that don't overlap, in sorted arrays, with a first-level index
 * over the leading bits of the address.
 */
template<typename Address>
class PrefixTable
{
public:
  static constexpr unsigned kAddressBits = sizeof(Address) * 8;
  /** 2^20 entries of 4 bytes: about 3.5 prefixes each at 3.7 million. */
  static constexpr unsigned kIndexBits = 20;

  /** \pre blocks are checked by Check() */
  void Assign(const std::vector<Block<Address>>& aBlocks);
  std::optional<SiteNumber> Find(Address aAddress) const;
  /** \returns the table after \a aChanges, or what is wrong with them. */
  BlockError Apply(const std::vector<BlockChange<Address>>& aChanges,
                   PrefixTable& aOut) const;
  /**
   * \returns the positions of the changed prefixes when every change only
   * sets the site of a prefix that is present; none otherwise.
   */
  std::optional<std::vector<std::size_t>> FindSiteChanges(
    const std::vector<BlockChange<Address>>& aChanges) const;
  /** Sets the sites at \a aPositions. \sa FindSiteChanges */
  void SetSites(const std::vector<std::size_t>& aPositions,
                const std::vector<BlockChange<Address>>& aChanges);
  /**
   * Appends the changes that lead from this table to \a aTo.
   * \returns false when there would be more than \a aMost.
   */
  bool Difference(const PrefixTable& aTo, std::size_t aMost,
                  std::vector<BlockChange<Address>>& aOut) const;

  std::size_t Size() const { return mStarts.size(); }
  Block<Address> At(std::size_t aIndex) const;
  base::ByteCount Memory() const;

  /** \returns what is wrong with sorted \a aBlocks. */
  static BlockError Check(const std::vector<Block<Address>>& aBlocks);
  static BlockError Check(const Block<Address>& aBlock);
  /** \returns the last address of the prefix. */
  static Address Last(Address aStart, PrefixLength aLength);

private:
  void Reserve(std::size_t aCount);
  void Append(const Block<Address>& aBlock);
  void BuildIndex();
  bool IsDisjointAndSorted() const;

  std::vector<Address> mStarts;
  std::vector<std::uint16_t> mSites;
  std::vector<std::uint8_t> mLengths;
  /** For each value of the leading bits: the first prefix at or above it;
   * none in an empty table. */
  std::vector<std::uint32_t> mIndex;
};

template<typename Address>
std::optional<SiteNumber> PrefixTable<Address>::Find(Address aAddress) const
{
  if (mIndex.empty()) {
    return std::nullopt;
  }
  const auto cell =
    static_cast<std::size_t>(aAddress >> (kAddressBits - kIndexBits));
  const auto first = mStarts.begin() + mIndex[cell];
  const auto last = mStarts.begin() + mIndex[cell + 1];
  const auto it = std::upper_bound(first, last, aAddress);
  // A short prefix may start in an earlier cell.
  if (it == mStarts.begin()) {
    return std::nullopt;
  }
  const auto position = static_cast<std::size_t>(it - mStarts.begin()) - 1;
  if (aAddress > Last(mStarts[position], PrefixLength(mLengths[position]))) {
    return std::nullopt;
  }
  return SiteNumber(mSites[position]);
}

template<typename Address>
Address PrefixTable<Address>::Last(Address aStart, PrefixLength aLength)
{
  if (aLength.Count() == 0) {
    return ~Address(0);
  }
  const unsigned hostBits = kAddressBits - aLength.Count();
  return aStart | ((Address(1) << hostBits) - 1);
}

extern template class PrefixTable<Ipv4>;
extern template class PrefixTable<Ipv6Network>;

} // namespace auburnmux::lookup
