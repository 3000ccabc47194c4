#include "lookup/src/PrefixTable.h"

namespace auburnmux::lookup {

template<typename Address>
void PrefixTable<Address>::Assign(const std::vector<Block<Address>>& aBlocks)
{
  mStarts.clear();
  mSites.clear();
  mLengths.clear();
  Reserve(aBlocks.size());
  for (const Block<Address>& it : aBlocks) {
    Append(it);
  }
  BuildIndex();
}

template<typename Address>
void PrefixTable<Address>::Reserve(std::size_t aCount)
{
  mStarts.reserve(aCount);
  mSites.reserve(aCount);
  mLengths.reserve(aCount);
}

template<typename Address>
void PrefixTable<Address>::Append(const Block<Address>& aBlock)
{
  mStarts.push_back(aBlock.mStart);
  mSites.push_back(aBlock.mSite.Count());
  mLengths.push_back(aBlock.mLength.Count());
}

template<typename Address>
void PrefixTable<Address>::BuildIndex()
{
  if (mStarts.empty()) {
    mIndex.clear();
    return;
  }
  mIndex.assign((std::size_t(1) << kIndexBits) + 1, 0);
  std::size_t position = 0;
  for (std::size_t cell = 0; cell + 1 < mIndex.size(); ++cell) {
    const Address start = Address(cell) << (kAddressBits - kIndexBits);
    while (position < mStarts.size() && mStarts[position] < start) {
      ++position;
    }
    mIndex[cell] = static_cast<std::uint32_t>(position);
  }
  mIndex.back() = static_cast<std::uint32_t>(mStarts.size());
}

template<typename Address>
Block<Address> PrefixTable<Address>::At(std::size_t aIndex) const
{
  return { mStarts[aIndex], PrefixLength(mLengths[aIndex]),
           SiteNumber(mSites[aIndex]) };
}

template<typename Address>
base::ByteCount PrefixTable<Address>::Memory() const
{
  return base::ByteCount((mStarts.capacity() * sizeof(Address)) +
                         (mSites.capacity() * sizeof(std::uint16_t)) +
                         mLengths.capacity() +
                         (mIndex.capacity() * sizeof(std::uint32_t)));
}

template<typename Address>
BlockError PrefixTable<Address>::Check(const Block<Address>& aBlock)
{
  if (aBlock.mLength.Count() > kAddressBits) {
    return BlockError::BadPrefix;
  }
  const Address mask = LastAddress(0, aBlock.mLength);
  return (aBlock.mStart & mask) == 0 ? BlockError::None : BlockError::BadPrefix;
}

template<typename Address>
BlockError PrefixTable<Address>::Check(
  const std::vector<Block<Address>>& aBlocks)
{
  for (std::size_t it = 0; it < aBlocks.size(); ++it) {
    if (const BlockError error = Check(aBlocks[it]);
        error != BlockError::None) {
      return error;
    }
    if (it > 0 && aBlocks[it].mStart <= LastAddress(aBlocks[it - 1].mStart,
                                                    aBlocks[it - 1].mLength)) {
      return BlockError::Overlap;
    }
  }
  return BlockError::None;
}

template<typename Address>
bool PrefixTable<Address>::IsDisjointAndSorted() const
{
  for (std::size_t it = 1; it < mStarts.size(); ++it) {
    if (mStarts[it] <=
        LastAddress(mStarts[it - 1], PrefixLength(mLengths[it - 1]))) {
      return false;
    }
  }
  return true;
}

template<typename Address>
BlockError PrefixTable<Address>::Apply(
  const std::vector<BlockChange<Address>>& aChanges, PrefixTable& aOut) const
{
  aOut.Reserve(Size() + aChanges.size());
  std::size_t position = 0;
  const BlockChange<Address>* previous = nullptr;
  for (const BlockChange<Address>& change : aChanges) {
    if (const BlockError error = Check(change.mBlock);
        error != BlockError::None) {
      return error;
    }
    if (previous != nullptr && change.mBlock.mStart < previous->mBlock.mStart) {
      return BlockError::Overlap;
    }
    previous = &change;
    while (position < Size() && mStarts[position] < change.mBlock.mStart) {
      aOut.Append(At(position++));
    }
    const bool isPresent = position < Size() &&
                           mStarts[position] == change.mBlock.mStart &&
                           mLengths[position] == change.mBlock.mLength.Count();
    if (change.mIsRemoved && !isPresent) {
      return BlockError::Missing;
    }
    position += isPresent ? 1 : 0;
    if (!change.mIsRemoved) {
      aOut.Append(change.mBlock);
    }
  }
  while (position < Size()) {
    aOut.Append(At(position++));
  }
  if (!aOut.IsDisjointAndSorted()) {
    return BlockError::Overlap;
  }
  aOut.BuildIndex();
  return BlockError::None;
}

template<typename Address>
std::optional<std::vector<std::size_t>>
PrefixTable<Address>::FindSiteChangePositions(
  const std::vector<BlockChange<Address>>& aChanges) const
{
  std::vector<std::size_t> positions;
  positions.reserve(aChanges.size());
  for (const BlockChange<Address>& change : aChanges) {
    const auto it =
      std::lower_bound(mStarts.begin(), mStarts.end(), change.mBlock.mStart);
    const auto position = static_cast<std::size_t>(it - mStarts.begin());
    const bool isPresent = it != mStarts.end() && *it == change.mBlock.mStart &&
                           mLengths[position] == change.mBlock.mLength.Count();
    const bool isSorted = positions.empty() || positions.back() < position;
    if (change.mIsRemoved || !isPresent || !isSorted) {
      return std::nullopt;
    }
    positions.push_back(position);
  }
  return positions;
}

template<typename Address>
void PrefixTable<Address>::SetSites(
  const std::vector<std::size_t>& aPositions,
  const std::vector<BlockChange<Address>>& aChanges)
{
  for (std::size_t it = 0; it < aPositions.size(); ++it) {
    mSites[aPositions[it]] = aChanges[it].mBlock.mSite.Count();
  }
}

template<typename Address>
bool PrefixTable<Address>::Difference(
  const PrefixTable& aTo, std::size_t aMaxChanges,
  std::vector<BlockChange<Address>>& aOut) const
{
  std::size_t left = 0;
  std::size_t right = 0;
  while ((left < Size() || right < aTo.Size()) && aOut.size() <= aMaxChanges) {
    const bool isLeftFirst =
      right >= aTo.Size() ||
      (left < Size() && mStarts[left] < aTo.mStarts[right]);
    const bool isRightFirst =
      left >= Size() ||
      (right < aTo.Size() && aTo.mStarts[right] < mStarts[left]);
    if (isLeftFirst) {
      aOut.push_back({ At(left++), true });
    } else if (isRightFirst) {
      aOut.push_back({ aTo.At(right++), false });
    } else {
      const Block<Address> from = At(left++);
      const Block<Address> to = aTo.At(right++);
      if (from.mLength != to.mLength) {
        aOut.push_back({ from, true });
      }
      if (!(from == to)) {
        aOut.push_back({ to, false });
      }
    }
  }
  return aOut.size() <= aMaxChanges;
}

template class PrefixTable<Ipv4>;
template class PrefixTable<Ipv6Network>;

} // namespace auburnmux::lookup
