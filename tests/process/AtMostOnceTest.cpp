#include "support/Fleet.h"

#include <csignal>

// Last, because CppUTest defines a macro named new.
#include <CppUTest/TestHarness.h>

using namespace auburnmux;
using namespace auburnmux::process;
using namespace std::chrono_literals;

namespace {

/** Vouchers that are sent at once, and what came back. */
struct Batch
{
  std::vector<std::string> mKeys;
  std::vector<HttpProbe::Pending> mPending;

  Batch(Fleet& aFleet, std::size_t aHost, std::size_t aCount)
  {
    for (std::size_t it = 0; it < aCount; ++it) {
      mKeys.push_back(aFleet.NewKey());
      mPending.push_back(
        aFleet.Probe().Start(aFleet.Voucher(aHost, mKeys.back()), "voucher"));
    }
  }

  /** Checks each answer against the executions. \returns the refused keys. */
  std::vector<std::string> CheckAnswers(Fleet& aFleet) const
  {
    std::vector<Reply> replies;
    for (const auto& it : mPending) {
      replies.push_back(aFleet.Probe().Wait(it));
    }
    // A dispatch that comes after the answer would show up here.
    aFleet.Probe().RunFor(1s);
    std::vector<std::string> refused;
    for (std::size_t it = 0; it < mKeys.size(); ++it) {
      const int executions = aFleet.Executions(mKeys[it]);
      CHECK_TRUE(executions <= 1);
      if (replies[it].mOutcome == "not-run") {
        CHECK_EQUAL(0, executions);
        refused.push_back(mKeys[it]);
      } else if (replies[it].mOutcome == "run") {
        CHECK_EQUAL(1, executions);
      }
    }
    return refused;
  }
};

/** Checks that refused keys can still be used, and run once. */
void CheckRunOnce(Fleet& aFleet, std::size_t aHost,
                  const std::vector<std::string>& aKeys)
{
  for (const std::string& it : aKeys) {
    STRCMP_EQUAL(
      "run",
      aFleet.SendUntil(aFleet.Voucher(aHost, it), { "run" }).mOutcome.c_str());
    CHECK_EQUAL(1, aFleet.Executions(it));
  }
  CHECK_EQUAL(0, aFleet.Sum("doubled"));
}

} // namespace

TEST_GROUP(AtMostOnce){};

// A voucher that runs while its entry host dies must not be issued again by
// the caller's next attempt through another host.
TEST(AtMostOnce, HostKilledWhileUpstreamRuns)
{
  Fleet fleet({ 3, 1, 3, 1500 });
  const std::string key = fleet.NewKey();
  const auto first = fleet.Probe().Start(fleet.Voucher(0, key), "voucher");
  CHECK_TRUE(fleet.Probe().Until([&] { return fleet.Executions(key) == 1; }));
  fleet.Host(0).Kill();
  CHECK_EQUAL(0, fleet.Probe().Wait(first).mStatus);
  // Until the others know of the death, the owner of the key may be the dead
  // host, so that the claim is refused.
  for (const std::size_t host : { 1, 2, 1 }) {
    const Reply reply =
      fleet.SendUntil(fleet.Voucher(host, key), { "run", "not-known" });
    CHECK_TRUE(reply.mOutcome == "run" || reply.mOutcome == "not-known");
    CHECK_EQUAL(1, fleet.Executions(key));
  }
  CHECK_TRUE(
    fleet.Probe().Until([&] { return fleet.PeerState(1, 0) == "dead"; }));
  for (const std::size_t host : { 1, 2 }) {
    const Reply reply =
      fleet.SendUntil(fleet.Voucher(host, key), { "run", "not-known" });
    CHECK_TRUE(reply.mOutcome == "run" || reply.mOutcome == "not-known");
  }
  CHECK_EQUAL(1, fleet.Executions(key));
  CHECK_EQUAL(0, fleet.Sum("doubled"));
}

// A claim that its owner grants after the dispatching host gave up must not
// lead to a dispatch, nor block the key for good.
TEST(AtMostOnce, OwnerPausedBeyondClaimDeadline)
{
  Fleet fleet;
  fleet.Host(1).Signal(SIGSTOP);
  const Batch batch(fleet, 0, 40);
  fleet.Probe().RunFor(2200ms);
  fleet.Host(1).Signal(SIGCONT);
  const auto refused = batch.CheckAnswers(fleet);
  // The paused host owns some of 16 partitions, so 40 keys meet it.
  CHECK_TRUE(!refused.empty());
  CheckRunOnce(fleet, 2, refused);
}

// A host that sleeps while its claims are granted finds the grants and its
// own passed deadlines at the same moment: the deadline counts.
TEST(AtMostOnce, DispatcherPausedBeforeClaimIsAnswered)
{
  Fleet fleet;
  fleet.SetFaults({ { "delay_ms", 1000 } });
  const Batch batch(fleet, 0, 8);
  fleet.Probe().RunFor(200ms);
  fleet.Host(0).Signal(SIGSTOP);
  fleet.Probe().RunFor(2500ms);
  fleet.Host(0).Signal(SIGCONT);
  fleet.SetFaults({ { "delay_ms", 0 } });
  const auto refused = batch.CheckAnswers(fleet);
  CHECK_TRUE(!refused.empty());
  CheckRunOnce(fleet, 1, refused);
}

// A host that sleeps through the execution of its voucher must not lead to a
// second one, neither by its own retry nor through other hosts.
TEST(AtMostOnce, DispatcherPausedAfterDispatch)
{
  Fleet fleet({ 3, 1, 3, 1000 });
  const std::string key = fleet.NewKey();
  const auto first = fleet.Probe().Start(fleet.Voucher(0, key), "voucher");
  CHECK_TRUE(fleet.Probe().Until([&] { return fleet.Executions(key) == 1; }));
  fleet.Host(0).Signal(SIGSTOP);
  const Reply meanwhile =
    fleet.SendUntil(fleet.Voucher(1, key), { "run", "not-known" });
  STRCMP_EQUAL("not-known", meanwhile.mOutcome.c_str());
  // Long enough to be declared dead.
  CHECK_TRUE(
    fleet.Probe().Until([&] { return fleet.PeerState(1, 0) == "dead"; }));
  fleet.Host(0).Signal(SIGCONT);
  const Reply reply = fleet.Probe().Wait(first);
  CHECK_TRUE(reply.mOutcome == "run" || reply.mOutcome == "not-known");
  STRCMP_EQUAL(
    "run", fleet.SendUntil(fleet.Voucher(2, key), { "run" }).mOutcome.c_str());
  CHECK_EQUAL(1, fleet.Executions(key));
  CHECK_EQUAL(0, fleet.Sum("doubled"));
}

// Without the platform no claim can be recorded, so vouchers must be refused
// as not run while checks go on; afterwards the same key must be usable.
TEST(AtMostOnce, PlatformDown)
{
  Fleet fleet;
  fleet.SetFaults({ { "down", true } });
  const std::string key = fleet.NewKey();
  for (std::size_t host = 0; host < fleet.HostCount(); ++host) {
    const Reply reply = fleet.Probe().Send(fleet.Voucher(host, key), "voucher");
    CHECK_EQUAL(503, reply.mStatus);
    STRCMP_EQUAL("not-run", reply.mOutcome.c_str());
    for (int it = 0; it < 5; ++it) {
      CHECK_EQUAL(200, fleet.Probe().Send(fleet.Check(host)).mStatus);
    }
  }
  CHECK_EQUAL(0, fleet.Executions(key));
  fleet.SetFaults({ { "down", false } });
  CheckRunOnce(fleet, 0, { key });
  const Reply replay = fleet.Probe().Send(fleet.Voucher(1, key), "voucher");
  STRCMP_EQUAL("run", replay.mOutcome.c_str());
  CHECK_EQUAL(200, replay.mStatus);
  CHECK_EQUAL(1, fleet.Executions(key));
}

// A write of the claim log that took effect although its answer was lost must
// count as written, not be refused or repeated.
TEST(AtMostOnce, PlatformLosesAnswers)
{
  Fleet fleet;
  for (const int lost : { 1, 2 }) {
    const int before = fleet.PlatformCounts().value("lost_answer", 0);
    fleet.SetFaults({ { "lose_next_answers", lost } });
    const std::string key = fleet.NewKey();
    const Reply reply = fleet.Probe().Send(fleet.Voucher(0, key), "voucher");
    STRCMP_EQUAL("run", reply.mOutcome.c_str());
    CHECK_EQUAL(200, reply.mStatus);
    CHECK_TRUE(fleet.Probe().Until([&] {
      return fleet.PlatformCounts().value("lost_answer", 0) == before + lost;
    }));
    CHECK_EQUAL(200,
                fleet.Probe().Send(fleet.Voucher(1, key), "voucher").mStatus);
    CHECK_EQUAL(1, fleet.Executions(key));
  }
  CHECK_EQUAL(0, fleet.Sum("doubled"));
}
