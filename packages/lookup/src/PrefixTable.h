#pragma once

#include "lookup/src/BlockTypes.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace auburnmux::lookup {

/**
 * Disjoint address prefixes in sorted arrays, with a first-level index over
 * the leading address bits.
 */
template<typename Address>
class PrefixTable
{
public:
  static constexpr unsigned kAddressBits = sizeof(Address) * 8;
  /** 2^20 index cells of 4 bytes; 3.7 million prefixes give about 3.5 each. */
  static constexpr unsigned kIndexBits = 20;

  /** Replaces the content. \pre Check() accepts \a aBlocks */
  void Assign(const std::vector<Block<Address>>& aBlocks);
  /** \returns the site of the address; none if no prefix contains it. */
  std::optional<SiteNumber> Find(Address aAddress) const;
  /**
   * Writes this table with \a aChanges applied to \a aOut.
   * \returns the error in \a aChanges, if any; \a aOut is then unusable.
   */
  BlockError Apply(const std::vector<BlockChange<Address>>& aChanges,
                   PrefixTable& aOut) const;
  /**
   * \returns the positions of the changed prefixes if every change only sets
   * the site of an existing prefix; none otherwise.
   */
  std::optional<std::vector<std::size_t>> FindSiteChangePositions(
    const std::vector<BlockChange<Address>>& aChanges) const;
  /** Sets the sites at \a aPositions. \sa FindSiteChangePositions */
  void SetSites(const std::vector<std::size_t>& aPositions,
                const std::vector<BlockChange<Address>>& aChanges);
  /**
   * Appends the changes that turn this table into \a aTo.
   * \returns false if there are more than \a aMaxChanges.
   */
  bool Difference(const PrefixTable& aTo, std::size_t aMaxChanges,
                  std::vector<BlockChange<Address>>& aOut) const;

  std::size_t Size() const { return mStarts.size(); }
  Block<Address> At(std::size_t aIndex) const;
  base::ByteCount Memory() const;

  /** Checks the prefixes of sorted \a aBlocks and that they don't overlap. */
  static BlockError Check(const std::vector<Block<Address>>& aBlocks);
  /** Checks that the prefix is well-formed. */
  static BlockError Check(const Block<Address>& aBlock);
  /** \returns the last address of the prefix. */
  static Address LastAddress(Address aStart, PrefixLength aLength);

private:
  void Reserve(std::size_t aCount);
  void Append(const Block<Address>& aBlock);
  void BuildIndex();
  bool IsDisjointAndSorted() const;

  std::vector<Address> mStarts;
  std::vector<std::uint16_t> mSites;
  std::vector<std::uint8_t> mLengths;
  /**
   * For each value of the leading bits, the position of the first prefix that
   * starts at or after it; one more entry marks the end. Empty if the table is
   * empty.
   */
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
  // The prefix that contains the address may start in an earlier cell, so the
  // position before `first` is valid too.
  if (it == mStarts.begin()) {
    return std::nullopt;
  }
  const auto position = static_cast<std::size_t>(it - mStarts.begin()) - 1;
  if (aAddress >
      LastAddress(mStarts[position], PrefixLength(mLengths[position]))) {
    return std::nullopt;
  }
  return SiteNumber(mSites[position]);
}

template<typename Address>
Address PrefixTable<Address>::LastAddress(Address aStart, PrefixLength aLength)
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
