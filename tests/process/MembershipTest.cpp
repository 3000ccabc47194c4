#include "support/Fleet.h"

#include <csignal>

// Last, because CppUTest defines a macro named new.
#include <CppUTest/TestHarness.h>

using namespace auburnmux;
using namespace auburnmux::process;
using namespace std::chrono_literals;

TEST_GROUP(Membership){
  static void CheckServed(Fleet & aFleet, std::size_t aHost){
    STRCMP_EQUAL("run",
                 aFleet.Probe().Send(aFleet.Check(aHost)).mOutcome.c_str());
}
}
;

// Callers must not be sent to a host that died, and must be served by those
// that live in the meantime.
TEST(Membership, KilledHostLeavesLookUps)
{
  Fleet fleet;
  const std::set<std::string> all = { "h0", "h1", "h2" };
  const std::set<std::string> living = { "h0", "h1" };
  CHECK_TRUE(fleet.Probe().Until([&] { return fleet.LookUp(0) == all; }));
  fleet.Host(2).Kill();
  CHECK_TRUE(fleet.Probe().Until([&] {
    CheckServed(fleet, 0);
    CheckServed(fleet, 1);
    return fleet.LookUp(0) == living && fleet.LookUp(1) == living;
  }));
  CHECK_TRUE(
    fleet.Probe().Until([&] { return fleet.PeerState(0, 2) == "dead"; }));
  fleet.StartHost(2);
  CHECK_TRUE(fleet.Probe().Until(
    [&] { return fleet.LookUp(0) == all && fleet.LookUp(2) == all; }, 30s));
}

// A host that pauses for 2 s must come back by itself, and the others serve
// in the meantime.
TEST(Membership, PausedHostComesBack)
{
  Fleet fleet;
  fleet.Host(1).Signal(SIGSTOP);
  for (int it = 0; it < 20; ++it) {
    fleet.Probe().RunFor(100ms);
    CheckServed(fleet, 0);
    CheckServed(fleet, 2);
  }
  fleet.Host(1).Signal(SIGCONT);
  CHECK_TRUE(fleet.Probe().Until([&] {
    return fleet.PeerState(0, 1) == "alive" &&
           fleet.PeerState(2, 1) == "alive" && fleet.LookUp(0).count("h1") == 1;
  }));
  CHECK_TRUE(fleet.WaitUntilReady());
  CheckServed(fleet, 1);
}
