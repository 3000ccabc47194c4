#include "limits/Limits.h"

#include "base/test/support/Property.h"

#include <algorithm>
#include <string>

using namespace auburnmux;
using namespace auburnmux::limits;
using base::ConnectionCount;
using base::HostId;
using base::SlotCount;
using base::UpstreamId;

namespace {

std::vector<HostId> Hosts(std::uint32_t aCount)
{
  std::vector<HostId> hosts;
  for (std::uint32_t i = 0; i < aCount; ++i) {
    hosts.emplace_back("host-" + std::to_string(i));
  }
  return hosts;
}

std::uint32_t SumSlots(const std::vector<HostId>& aHosts, std::uint32_t aSlots,
                       ShareFloor aFloor)
{
  std::uint32_t sum = 0;
  for (const HostId& it : aHosts) {
    sum +=
      SlotShare::Slots(UpstreamId("u"), SlotCount(aSlots), it, aHosts, aFloor)
        .Count();
  }
  return sum;
}

} // namespace

TEST_GROUP(SlotShare){};

// Guards against hosts that together exceed an upstream's slots or leave some
// unused.
TEST(SlotShare, SharesSumToTheSlots)
{
  CHECK_PROPERTY("sum of shares", [] {
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 40);
    const auto slots = *rc::gen::inRange<std::uint32_t>(0, 60);
    const auto hosts = Hosts(count);
    RC_ASSERT(SumSlots(hosts, slots, ShareFloor::None) == slots);
    if (slots >= count) {
      RC_ASSERT(SumSlots(hosts, slots, ShareFloor::One) == slots);
    }
  });
}

// Guards against a share that depends on the order of the host list or on
// whether the list contains this host.
TEST(SlotShare, AllHostsComputeTheSameDivision)
{
  CHECK_PROPERTY("order and self don't matter", [] {
    const auto hosts = Hosts(*rc::gen::inRange<std::uint32_t>(1, 12));
    const UpstreamId upstream(*rc::gen::string<std::string>());
    const SlotCount slots(*rc::gen::inRange<std::uint32_t>(0, 30));
    const HostId self = *rc::gen::elementOf(hosts);
    auto others = hosts;
    std::reverse(others.begin(), others.end());
    others.erase(std::find(others.begin(), others.end(), self));
    RC_ASSERT(SlotShare::Slots(upstream, slots, self, hosts) ==
              SlotShare::Slots(upstream, slots, self, others));
  });
}

// Guards against exceeding a connection limit during a network partition
// between data centres: the shares depend only on the list of all hosts.
TEST(SlotShare, ConnectionsNeverExceedTheLimit)
{
  CHECK_PROPERTY("sum of connection shares", [] {
    const auto hosts = Hosts(*rc::gen::inRange<std::uint32_t>(1, 20));
    const auto limit = *rc::gen::inRange<std::uint32_t>(0, 400);
    std::uint32_t sum = 0;
    for (const HostId& it : hosts) {
      sum += SlotShare::Connections(UpstreamId("u"), ConnectionCount(limit), it,
                                    hosts)
               .Count();
    }
    RC_ASSERT(sum == limit);
    RC_ASSERT(SlotShare::Connections(UpstreamId("u"), ConnectionCount(limit),
                                     HostId("stranger"), hosts)
                .Count() == 0U);
  });
}

// Guards against remainders that always go to the same hosts.
TEST(SlotShare, RemaindersSpreadOverHosts)
{
  const auto hosts = Hosts(7);
  for (const HostId& host : hosts) {
    std::uint32_t sum = 0;
    for (int i = 0; i < 700; ++i) {
      sum += SlotShare::Slots(UpstreamId("u" + std::to_string(i)), SlotCount(9),
                              host, hosts)
               .Count();
    }
    CHECK_TRUE(sum > 850 && sum < 950);
  }
}
