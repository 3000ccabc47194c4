#pragma once

#include "base/Base.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace auburnmux::lookup {

/** Index of a client site in the order of the configuration. */
using SiteNumber = base::Quantity<struct SiteNumberTag, std::uint16_t>;
/** Version of a block table; 0 is the empty table. */
using BlockVersion = base::Quantity<struct BlockVersionTag>;
/** Number of leading address bits that form a prefix. */
using PrefixLength = base::Quantity<struct PrefixLengthTag, std::uint8_t>;

/** IPv4 address in host byte order. */
using Ipv4 = std::uint32_t;
/** Upper half of an IPv6 address; prefixes are at most 64 bits long. */
using Ipv6Network = std::uint64_t;

/** An address prefix and the site of all its clients. */
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

/** Removes one prefix, or adds it, or sets its site. */
template<typename Address>
struct BlockChange
{
  Block<Address> mBlock;
  bool mIsRemoved = false;
};

/** Maximum number of blocks in a table. */
inline constexpr std::size_t kMaxBlocks = 8U << 20U;
/** Maximum number of changes in a delta. */
inline constexpr std::size_t kMaxDeltaChanges = 65536;

/** Changes between two table versions, sorted by prefix start. */
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
  /**
   * The delta applies to another version than the table's, or its target
   * version is not newer.
   */
  WrongVersion,
  TooLarge,
  /**
   * Bits beyond the prefix length are set, or the length exceeds the address.
   */
  BadPrefix,
  /** Prefixes overlap, repeat, or are out of order. */
  Overlap,
  /** A prefix to remove isn't in the table. */
  Missing
};

} // namespace auburnmux::lookup
