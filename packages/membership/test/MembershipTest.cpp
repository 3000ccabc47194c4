#include "membership/Membership.h"

#include "base/test/support/Property.h"
#include "membership/test/support/Fleet.h"

using namespace auburnmux;
using namespace auburnmux::membership;
using auburnmux::membership::test::Fleet;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kHosts = 7;
constexpr std::size_t kCentres = 6;

Fleet RunningFleet(std::uint64_t aSeed, std::size_t aHosts = kHosts,
                   std::size_t aCentres = kCentres)
{
  Fleet fleet(aHosts, aCentres, aSeed);
  fleet.Run(6s);
  return fleet;
}

} // namespace

TEST_GROUP(Membership){};

// Guards against hosts that never discover each other after starting together.
TEST(Membership, HostsFindEachOther)
{
  for (const std::size_t n : { 1, 2, 3, 7, 28 }) {
    Fleet fleet = RunningFleet(1, n, std::min<std::size_t>(n, 6));
    CHECK_TRUE_TEXT(fleet.IsComplete(), std::to_string(n).c_str());
  }
}

// Guards against detection that takes over 3 s, at any moment of the failure.
TEST(Membership, KilledHostIsDeadEverywhereWithinThreeSeconds)
{
  CHECK_PROPERTY("dead within 3 s", [] {
    Fleet fleet = RunningFleet(*rc::gen::arbitrary<std::uint32_t>(),
                               *rc::gen::element<std::size_t>(2, 3, 7, 13));
    fleet.Run(std::chrono::milliseconds(*rc::gen::inRange(0, 1000)));
    const auto victim = *rc::gen::inRange<std::size_t>(0, fleet.mNodes.size());
    fleet.Kill(victim);
    fleet.Run(3s);
    RC_ASSERT(fleet.AllSee(victim, HostState::Dead));
  });
}

// Guards against pauses of 2 s, also overlapping ones, being taken for
// failures.
TEST(Membership, PauseOfTwoSecondsIsNoFailure)
{
  CHECK_PROPERTY("no dead host", [] {
    Fleet fleet = RunningFleet(*rc::gen::arbitrary<std::uint32_t>());
    const auto first = *rc::gen::inRange<std::size_t>(0, kHosts);
    const auto second = *rc::gen::inRange<std::size_t>(0, kHosts);
    const auto lead = std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
    fleet.Pause(first);
    fleet.Run(lead);
    fleet.Pause(second);
    fleet.Run(2000ms - lead);
    fleet.Resume(first);
    fleet.Run(first == second ? 0ms : lead);
    fleet.Resume(second);
    fleet.Run(3s);
    RC_ASSERT(fleet.CountChanges(HostState::Dead) == 0U);
    RC_ASSERT(fleet.IsComplete());
  });
}

// Guards against a host that stays dead after a long pause.
TEST(Membership, HostPausedForLongReturns)
{
  Fleet fleet = RunningFleet(3);
  fleet.Pause(4);
  fleet.Run(10s);
  CHECK_TRUE(fleet.AllSee(4, HostState::Dead));
  fleet.Resume(4);
  fleet.Run(3s);
  CHECK_TRUE(fleet.IsComplete());
}

// Guards against a host that is declared dead because of one cut link, while
// all other hosts can reach it.
TEST(Membership, CutLinkToOneObserverKillsNobody)
{
  CHECK_PROPERTY("no dead host", [] {
    Fleet fleet = RunningFleet(*rc::gen::arbitrary<std::uint32_t>());
    const auto left = *rc::gen::inRange<std::size_t>(0, kHosts);
    const auto right = *rc::gen::inRange<std::size_t>(0, kHosts);
    fleet.mIsCut = [=](std::size_t aFrom, std::size_t aTo) {
      return (aFrom == left && aTo == right) || (aFrom == right && aTo == left);
    };
    fleet.Run(15s);
    RC_ASSERT(fleet.CountChanges(HostState::Dead) == 0U);
  });
}

// Guards against a failed data centre or region whose hosts have no observers
// outside it.
TEST(Membership, LostRegionIsDetectedWithinThreeSeconds)
{
  CHECK_PROPERTY("all dead within 3 s", [] {
    const auto hosts = *rc::gen::element<std::size_t>(7, 28);
    Fleet fleet = RunningFleet(*rc::gen::arbitrary<std::uint32_t>(), hosts);
    const bool isCentre = *rc::gen::arbitrary<bool>();
    const auto lost = *rc::gen::inRange<std::size_t>(0, 3);
    const auto isLost = [&](std::size_t aHost) {
      const std::size_t centre = aHost % kCentres;
      return isCentre ? centre == lost : centre / 2 == lost;
    };
    for (std::size_t it = 0; it < hosts; ++it) {
      if (isLost(it)) {
        fleet.Kill(it);
      }
    }
    fleet.Run(3s);
    for (std::size_t it = 0; it < hosts; ++it) {
      RC_ASSERT(
        fleet.AllSee(it, isLost(it) ? HostState::Dead : HostState::Alive));
    }
  });
}

// Guards against partitions whose sides still see each other as alive, or that
// don't heal.
TEST(Membership, PartitionedRegionIsSeenAndRejoinsWithinSeconds)
{
  CHECK_PROPERTY("both sides agree", [] {
    const auto hosts = *rc::gen::element<std::size_t>(7, 28);
    Fleet fleet = RunningFleet(*rc::gen::arbitrary<std::uint32_t>(), hosts);
    const auto side = [](std::size_t aHost) {
      return aHost % kCentres / 2 == 0;
    };
    fleet.mIsCut = [=](std::size_t aFrom, std::size_t aTo) {
      return side(aFrom) != side(aTo);
    };
    fleet.Run(12s);
    for (std::size_t it = 0; it < hosts; ++it) {
      const auto isSame = [&](std::size_t aHost) {
        return side(aHost) == side(it);
      };
      RC_ASSERT(fleet.AllSee(it, HostState::Alive, isSame));
      RC_ASSERT(fleet.AllSee(it, HostState::Dead, std::not_fn(isSame)));
    }
    fleet.mIsCut = [](std::size_t, std::size_t) { return false; };
    fleet.Run(6s);
    RC_ASSERT(fleet.IsComplete());
  });
}

// Guards against a restarted host on the same address that stays dead.
TEST(Membership, RestartedHostIsAliveWithItsNewIncarnation)
{
  Fleet fleet = RunningFleet(5);
  fleet.Kill(6);
  fleet.Run(4s);
  CHECK_TRUE(fleet.AllSee(6, HostState::Dead));
  fleet.Start(6);
  fleet.Run(3s);
  CHECK_TRUE(fleet.IsComplete());
}

// Guards against a planned stop that reaches only some hosts in time.
TEST(Membership, LeavingHostIsKnownEverywhereWithinHalfASecond)
{
  Fleet fleet = RunningFleet(6, 28);
  fleet.Perform(9, fleet.mNodes[9].mMembership->StartLeaving(fleet.mNow));
  fleet.Run(500ms);
  CHECK_TRUE(fleet.AllSee(9, HostState::Leaving));
  fleet.Run(10s);
  CHECK_TRUE(fleet.AllSee(9, HostState::Leaving));
}

// Guards against an outdated platform list that revives a dead host.
TEST(Membership, PlatformListNeverRevives)
{
  Fleet fleet = RunningFleet(7);
  fleet.Kill(5);
  fleet.Run(4s);
  const HostIdentity& dead = fleet.mNodes[5].mIdentity;
  for (Fleet::Node& node : fleet.mNodes) {
    node.mMembership->OnPlatformList({ { dead.mId, dead.Peer() } });
  }
  fleet.Run(5s);
  CHECK_TRUE(fleet.AllSee(5, HostState::Dead));
}

// Guards against a configuration version that spreads only one hop at a time.
TEST(Membership, ConfigVersionIsAnnouncedToAllNeighbours)
{
  Fleet fleet = RunningFleet(8);
  fleet.Perform(0, fleet.mNodes[0].mMembership->SetConfigVersion(
                     fleet.mNow, base::ConfigVersion(4)));
  fleet.Run(100ms);
  for (std::size_t it = 1; it < kHosts; ++it) {
    const std::vector<Action>& changes = fleet.mNodes[it].mChanges;
    const auto* seen = std::get_if<ConfigAnnounced>(&changes.back());
    CHECK_TRUE(seen != nullptr && seen->mVersion == base::ConfigVersion(4));
  }
}

// Guards against a host that misses a change of the state which others have.
TEST(Membership, ChangesOfTheStateAreAnnouncedWithHeartbeats)
{
  Fleet fleet = RunningFleet(8);
  fleet.mNodes[0].mMembership->SetState(
    { { StateRevision(3), StateRevision(9) }, {} });
  fleet.Run(2s);
  const auto hasSeen = [](const auto& aNode) {
    return std::any_of(
      aNode.mChanges.begin(), aNode.mChanges.end(), [](const Action& aIt) {
        const auto* seen = std::get_if<StateAnnounced>(&aIt);
        return seen != nullptr && seen->mState.mRevisions.size() == 2 &&
               seen->mState.mRevisions[1] == StateRevision(9);
      });
  };
  CHECK_TRUE(
    std::any_of(fleet.mNodes.begin() + 1, fleet.mNodes.end(), hasSeen));
  CHECK_FALSE(hasSeen(fleet.mNodes[0]));
}

// Guards against comparing revisions of two eras: after the platform came back
// from an older copy it issues them again.
TEST(Membership, AnnouncedStateIsComparedByEraFirst)
{
  const auto isAnnounced = [](std::optional<StateEra> aOwn,
                              std::optional<StateEra> aOther,
                              std::uint64_t aOtherRevision) {
    Fleet fleet = RunningFleet(2);
    Membership& host = *fleet.mNodes[0].mMembership;
    host.SetState({ { StateRevision(5) }, aOwn });
    HeartbeatPayload payload{
      { fleet.mNodes[1].mIdentity, {}, HostState::Alive, {} },
      HeartbeatNumber(1),
      {},
      {},
      { { StateRevision(aOtherRevision) }, aOther }
    };
    const Actions actions = host.OnHeartbeat(fleet.mNow, payload);
    return std::any_of(actions.begin(), actions.end(), [](const Action& aIt) {
      return std::holds_alternative<StateAnnounced>(aIt);
    });
  };
  CHECK_TRUE(isAnnounced(StateEra(2), StateEra(3), 1));
  CHECK_FALSE(isAnnounced(StateEra(2), StateEra(1), 9));
  CHECK_TRUE(isAnnounced(StateEra(2), StateEra(2), 6));
  CHECK_FALSE(isAnnounced(StateEra(2), StateEra(2), 5));
  CHECK_TRUE(isAnnounced({}, StateEra(1), 1));
  // Hosts of versions that don't know eras name none.
  CHECK_TRUE(isAnnounced(StateEra(2), {}, 6));
  CHECK_TRUE(isAnnounced({}, {}, 6));
  CHECK_FALSE(isAnnounced({}, {}, 5));
}

// Guards against unbounded growth from updates about hosts that don't exist.
TEST(Membership, ClaimsAboutUnknownHostsAreBounded)
{
  Fleet fleet = RunningFleet(9, 2, 2);
  Membership& host = *fleet.mNodes[0].mMembership;
  HeartbeatPayload payload{
    { fleet.mNodes[1].mIdentity, {}, HostState::Alive, {} },
    HeartbeatNumber(1),
    {},
    {}
  };
  for (std::size_t it = 0; it < 2 * kMaxHosts; ++it) {
    HostUpdate update = payload.mSender;
    update.mHost.mId = base::HostId("made-up-" + std::to_string(it));
    payload.mUpdates = { update };
    const Actions actions = host.OnHeartbeat(fleet.mNow, payload);
    CHECK_TRUE(actions.size() <= 64);
  }
  CHECK_EQUAL(kMaxHosts, host.View().size());
}

// Guards against a message rate per host that grows with the fleet size.
TEST(Membership, SteadyCostPerHostIsConstant)
{
  std::vector<double> rates;
  for (const std::size_t n : { 28, 112 }) {
    Fleet fleet = RunningFleet(10, n);
    for (Fleet::Node& node : fleet.mNodes) {
      node.mSent = 0;
    }
    fleet.Run(10s);
    std::uint64_t sent = 0;
    for (const Fleet::Node& node : fleet.mNodes) {
      sent += node.mSent;
    }
    rates.push_back(static_cast<double>(sent) / static_cast<double>(n));
  }
  CHECK_TRUE(rates[1] < 1.1 * rates[0]);
}
