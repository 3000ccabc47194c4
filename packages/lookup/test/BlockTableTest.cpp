#include "lookup/Lookup.h"

#include "base/test/support/Property.h"

#include <map>

using namespace auburnmux;
using namespace auburnmux::lookup;

namespace {

/** Reference implementation: prefixes by start, found with upper_bound. */
template<typename Address>
using Reference = std::map<Address, Block<Address>>;

/** \returns random disjoint prefixes with their sites. */
template<typename Address>
Reference<Address> RandomBlocks()
{
  constexpr unsigned kBits = sizeof(Address) * 8;
  Reference<Address> out;
  const auto n = *rc::gen::inRange(0, 40);
  for (int it = 0; it < n; ++it) {
    const auto length = *rc::gen::inRange(1U, kBits + 1);
    const Address host = length == kBits
                           ? Address(0)
                           : Address((Address(1) << (kBits - length)) - 1);
    // Few distinct leading bits make adjacent prefixes frequent.
    const Address start = (*rc::gen::inRange<Address>(0, 16) << (kBits - 4) |
                           *rc::gen::inRange<Address>(0, 256)) &
                          static_cast<Address>(~host);
    const Block<Address> block{
      start, PrefixLength(static_cast<std::uint8_t>(length)),
      SiteNumber(*rc::gen::inRange<std::uint16_t>(0, 400))
    };
    const auto next = out.lower_bound(start);
    const bool hitsNext =
      next != out.end() && next->first <= Address(start | host);
    const bool hitsPrevious =
      next != out.begin() &&
      PrefixTable<Address>::LastAddress(
        std::prev(next)->first, std::prev(next)->second.mLength) >= start;
    if (!hitsNext && !hitsPrevious) {
      out[start] = block;
    }
  }
  return out;
}

template<typename Address>
std::vector<Block<Address>> List(const Reference<Address>& aBlocks)
{
  std::vector<Block<Address>> out;
  for (const auto& [start, block] : aBlocks) {
    out.push_back(block);
  }
  return out;
}

template<typename Address>
std::optional<SiteNumber> FindIn(const Reference<Address>& aBlocks,
                                 Address aAddress)
{
  auto it = aBlocks.upper_bound(aAddress);
  if (it == aBlocks.begin()) {
    return std::nullopt;
  }
  --it;
  return PrefixTable<Address>::LastAddress(it->first, it->second.mLength) >=
             aAddress
           ? std::optional(it->second.mSite)
           : std::nullopt;
}

} // namespace

TEST_GROUP(BlockTable){};

// Guards against wrong sites at the boundaries of prefixes and index cells.
TEST(BlockTable, FindMatchesTheReference)
{
  CHECK_PROPERTY("same sites", [] {
    const auto ipv4 = RandomBlocks<Ipv4>();
    const auto ipv6 = RandomBlocks<Ipv6Network>();
    BlockTable table;
    RC_ASSERT(table.Build(BlockVersion(1), List(ipv4), List(ipv6)) ==
              BlockError::None);
    for (const auto& [start, block] : ipv4) {
      const Ipv4 last = PrefixTable<Ipv4>::LastAddress(start, block.mLength);
      for (const Ipv4 it : { start - 1, start, last, last + 1 }) {
        RC_ASSERT(table.Find(it) == FindIn(ipv4, it));
      }
    }
    for (const auto& [start, block] : ipv6) {
      const auto last =
        PrefixTable<Ipv6Network>::LastAddress(start, block.mLength);
      for (const Ipv6Network it : { start - 1, start, last, last + 1 }) {
        RC_ASSERT(table.FindIpv6(it) == FindIn(ipv6, it));
      }
    }
  });
}

// Guards against a delta whose result differs from a full build of the same
// version.
TEST(BlockTable, ApplyingTheDifferenceGivesTheTargetTable)
{
  CHECK_PROPERTY("apply of difference equals build", [] {
    BlockTable from;
    BlockTable to;
    const auto target = RandomBlocks<Ipv4>();
    auto source = RandomBlocks<Ipv4>();
    auto source6 = RandomBlocks<Ipv6Network>();
    auto target6 = RandomBlocks<Ipv6Network>();
    // Half of the cases only change sites, which Apply handles in place.
    if (*rc::gen::arbitrary<bool>()) {
      source = target;
      source6 = target6;
      for (auto& [start, block] : source) {
        block.mSite = SiteNumber(*rc::gen::inRange<std::uint16_t>(0, 400));
      }
    }
    from.Build(BlockVersion(1), List(source), List(source6));
    to.Build(BlockVersion(2), List(target), List(target6));
    const auto delta = BlockTable::Difference(from, to);
    RC_ASSERT(delta.has_value());
    RC_ASSERT(from.Apply(*delta) == BlockError::None);
    RC_ASSERT(from.Version() == BlockVersion(2));
    const auto rest = BlockTable::Difference(from, to);
    RC_ASSERT(rest->mIpv4.empty() && rest->mIpv6.empty());
    for (const auto& [start, block] : target) {
      RC_ASSERT(from.Find(start) == block.mSite);
    }
  });
}

// Guards against applying a delta that has another base version or is invalid.
TEST(BlockTable, RejectedDeltaLeavesTheTableUnchanged)
{
  BlockTable table;
  const Block<Ipv4> block{ 0x0a000000, PrefixLength(8), SiteNumber(3) };
  CHECK_TRUE(table.Build(BlockVersion(5), { block }, {}) == BlockError::None);
  const auto apply = [&](std::uint64_t aFrom, std::uint64_t aTo,
                         std::vector<BlockChange<Ipv4>> aChanges) {
    return table.Apply(
      { BlockVersion(aFrom), BlockVersion(aTo), std::move(aChanges), {} });
  };
  const Block<Ipv4> inside{ 0x0a010000, PrefixLength(16), SiteNumber(4) };
  const Block<Ipv4> misaligned{ 0x0b000001, PrefixLength(8), SiteNumber(4) };
  CHECK_TRUE(apply(4, 6, {}) == BlockError::WrongVersion);
  CHECK_TRUE(apply(5, 5, {}) == BlockError::WrongVersion);
  CHECK_TRUE(apply(5, 6, { { inside, false } }) == BlockError::Overlap);
  CHECK_TRUE(apply(5, 6, { { inside, true } }) == BlockError::Missing);
  CHECK_TRUE(apply(5, 6, { { misaligned, false } }) == BlockError::BadPrefix);
  CHECK_TRUE(
    apply(5, 6, std::vector<BlockChange<Ipv4>>(kMaxDeltaChanges + 1)) ==
    BlockError::TooLarge);
  CHECK_TRUE(table.Version() == BlockVersion(5));
  CHECK_TRUE(table.Find(0x0a010203) == SiteNumber(3));
  CHECK_FALSE(table.Find(0x0b000000).has_value());
}
