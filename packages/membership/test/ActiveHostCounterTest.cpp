#include "membership/Membership.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using namespace auburnmux::membership;
using base::TimePoint;

namespace {

TimePoint At(int aSeconds)
{
  return TimePoint(std::chrono::seconds(1000 + aSeconds));
}

HostView Host(int aIndex, int aStart, HostState aState)
{
  HostIdentity host;
  host.mId =
    base::HostId("h" + std::to_string(aIndex) + '-' + std::to_string(aStart));
  host.mAddress = "10.0.0." + std::to_string(aIndex);
  host.mPeerPort = base::PortNumber(7000);
  return { host, aState };
}

} // namespace

TEST_GROUP(ActiveHostCounter){};

// Guards against a partition in which each side counts only the hosts that it
// sees, so that both sides together use up to twice the shared limit.
TEST(ActiveHostCounter, SharesOfBothSidesOfAPartitionStayWithinTheLimit)
{
  CHECK_PROPERTY("shares sum to at most one", [](std::uint64_t aSeed) {
    base::Random random(aSeed);
    const int hosts = 2 + static_cast<int>(random.Below(10));
    const int left =
      1 + static_cast<int>(random.Below(static_cast<std::uint64_t>(hosts - 1)));
    std::vector<ActiveHostCounter> counts(static_cast<std::size_t>(hosts));
    const auto view = [&](int aObserver, bool aIsCut) {
      std::vector<HostView> all;
      for (int i = 0; i < hosts; ++i) {
        const bool isSeen = !aIsCut || (i < left) == (aObserver < left);
        all.push_back(Host(i, 0, isSeen ? HostState::Alive : HostState::Dead));
      }
      return all;
    };
    double sum = 0;
    for (int i = 0; i < hosts; ++i) {
      ActiveHostCounter& it = counts[static_cast<std::size_t>(i)];
      it.OnView(At(0), view(i, false));
      it.OnView(At(10), view(i, true));
      sum += 1.0 / static_cast<double>(it.Count(At(60)));
    }
    RC_ASSERT(sum <= 1.0001);
  });
}

TEST(ActiveHostCounter, ReplacedAndLeavingHostsDontCount)
{
  ActiveHostCounter count;
  count.OnView(At(0),
               { Host(0, 0, HostState::Alive), Host(1, 0, HostState::Alive),
                 Host(2, 0, HostState::Alive) });
  CHECK_EQUAL(3U, count.Count(At(1)));
  count.OnView(
    At(2), { Host(0, 0, HostState::Alive), Host(1, 0, HostState::Dead),
             Host(1, 1, HostState::Alive), Host(2, 0, HostState::Leaving) });
  CHECK_EQUAL(2U, count.Count(At(3)));
}

TEST(ActiveHostCounter, SilentHostIsNotCountedAfterMinutes)
{
  ActiveHostCounter count;
  count.OnView(At(0),
               { Host(0, 0, HostState::Alive), Host(1, 0, HostState::Alive) });
  count.OnView(At(5),
               { Host(0, 0, HostState::Alive), Host(1, 0, HostState::Dead) });
  CHECK_EQUAL(2U, count.Count(At(200)));
  CHECK_EQUAL(1U, count.Count(At(400)));
}
