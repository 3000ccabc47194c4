#pragma once

#include "base/Base.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace auburnmux::lookup {

/** Number of a site of clients, as the configuration lists them. */
using SiteNumber = base::Quantity<struct SiteNumberTag, std::uint16_t>;
/** Version of a block table; 0 is the empty table. */
using BlockVersion = base::Quantity<struct BlockVersionTag>;
/** Leading bits of an address that form a prefix. */
using PrefixLength = base::Quantity<struct PrefixLengthTag, std::uint8_t>;

/** IPv4 address in host byte order. */
using Ipv4 = std::uint32_t;
/** Upper half of an IPv6 address; prefixes are at most 64 bits long. */
using Ipv6Network = std::uint64_t;

/** All clients of a prefix belong to a site. */
template<typename Address>
struct Block
{
  Address mStart{};
  PrefixLength mLength;
  SiteNumber mSite;

  friend bool operator==(const Block& aLeft, const Block& aRight)
  {
    return aLeft.mStart == aRight.mStart && aLeft.mLength == aRight.mLength &&
           aLeft.mSite == aRight.mSite;
  }
};

/** Removes or sets one prefix. */
template<typename Address>
struct BlockChange
{
  Block<Address> mBlock;
  bool mIsRemoved = false;
};

/** Blocks and changes that one table or delta may hold. */
inline constexpr std::size_t kMaxBlocks = 8U << 20U;
inline constexpr std::size_t kMaxDeltaChanges = 65536;

/** Difference between two versions; changes in the order of their starts. */
struct BlockDelta
{
  BlockVersion mFrom;
  BlockVersion mTo;
  std::vector<BlockChange<Ipv4>> mIpv4;
  std::vector<BlockChange<Ipv6Network>> mIpv6;
};

enum class BlockError
{
  None,
  /** The delta starts from another version, or doesn't go forward. */
  WrongVersion,
  TooLarge,
  /** Bits are set below the prefix length, or the length is too long. */
  BadPrefix,
  /** Prefixes overlap, repeat, or are out of order. */
  Overlap,
  /** A removed prefix isn't in the table. */
  Missing
};

} // namespace auburnmux::lookup
