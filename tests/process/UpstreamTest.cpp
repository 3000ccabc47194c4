#include "support/Fleet.h"

#include <csignal>
#include <sstream>

// Last, because CppUTest defines a macro named new.
#include <CppUTest/TestHarness.h>

using namespace auburnmux;
using namespace auburnmux::process;
using namespace std::chrono_literals;

namespace {

/** \returns the state that a host reports of upstream \a aUpstream. */
std::string UpstreamState(Fleet& aFleet, std::size_t aHost,
                          const std::string& aUpstream)
{
  const Json status = aFleet.Status(aHost);
  if (status.is_object()) {
    for (const Json& service : status["services"]) {
      for (const Json& it : service["upstreams"]) {
        if (it["id"] == aUpstream) {
          return it["state"];
        }
      }
    }
  }
  return "unknown";
}

/** Checks that a caller's requests of one class all got their own answer. */
void CheckAllServed(const Json& aReport, const std::string& aClass)
{
  const Json& it = aReport.at("classes").at(aClass);
  const std::string text = aClass + ": " + it.dump();
  CHECK_TRUE_TEXT(it.at("sent") > 0, text.c_str());
  CHECK_TRUE_TEXT(it.at("ok") == it.at("sent"), text.c_str());
  CHECK_TRUE_TEXT(it.at("failed") == 0, text.c_str());
  CHECK_TRUE_TEXT(it.at("wrong_answers") == 0, text.c_str());
  CHECK_TRUE_TEXT(it.at("not_known") == 0, text.c_str());
}

/** \returns second attempts that all hosts sent beside a first one. */
int HedgesSent(Fleet& aFleet)
{
  int hedges = 0;
  for (std::size_t i = 0; i < aFleet.HostCount(); ++i) {
    std::istringstream lines(
      aFleet.Probe().Send({ aFleet.HostEndpoint(i), "GET", "/metrics" }).mBody);
    for (std::string line; std::getline(lines, line);) {
      if (line.rfind("auburnmux_hedges_total", 0) == 0) {
        hedges += std::stoi(line.substr(line.rfind(' ')));
      }
    }
  }
  return hedges;
}

/** Checks that an upstream answered all that it executed, but for attempts
 * that lost against another one of the same request. */
void CheckOnlyHedgesCancelled(Fleet& aFleet, const Json& aStats)
{
  const int cancelled = aStats.at("cancelled");
  const std::string text = aStats.dump();
  CHECK_EQUAL_TEXT(aStats.at("executed").get<int>(),
                   aStats.at("answered").get<int>() + cancelled, text.c_str());
  CHECK_TRUE_TEXT(cancelled <= HedgesSent(aFleet), text.c_str());
}

} // namespace

TEST_GROUP(Upstreams){};

// A request that crashes each upstream that runs it, sent again by its caller
// through every host, must not take the whole service down.
TEST(Upstreams, CrashingRequestStopsAfterTwo)
{
  Fleet fleet({ 3, 1, 6 });
  Reply reply;
  for (int it = 0; it < 9; ++it) {
    const std::size_t host = static_cast<std::size_t>(it) % 3;
    reply = fleet.Probe().Send(fleet.Check(host, "?crash=1"));
    CHECK_TRUE(reply.mStatus >= 500);
    // The crash report travels to the other hosts.
    fleet.Probe().RunFor(300ms);
  }
  CHECK_EQUAL(503, reply.mStatus);
  STRCMP_EQUAL("not-run", reply.mOutcome.c_str());
  CHECK_EQUAL(2, fleet.Sum("crashes"));
}

// Checks must be answered while upstreams that a request crashed are down,
// also at a host that has little traffic and so a small retry budget.
TEST(Upstreams, ChecksGoOnAfterCrashes)
{
  Fleet fleet({ 3, 1, 6 });
  CHECK_TRUE(fleet.Probe().Send(fleet.Check(0, "?crash=1")).mStatus >= 500);
  for (int it = 0; it < 30; ++it) {
    const std::size_t host = static_cast<std::size_t>(it) % 3;
    const Reply check = fleet.Probe().Send(fleet.Check(host));
    CHECK_EQUAL_TEXT(200, check.mStatus, check.mBody.c_str());
  }
  CHECK_EQUAL(2, fleet.Sum("crashes"));
}

// A voucher that crashed its upstream may have run: no host may try it again.
TEST(Upstreams, CrashingVoucherIsNotRepeated)
{
  Fleet fleet;
  const std::string key = fleet.NewKey();
  for (int it = 0; it < 6; ++it) {
    http::ClientRequest voucher =
      fleet.Voucher(static_cast<std::size_t>(it) % 3, key);
    voucher.mTarget += "?crash=1";
    const Reply reply = fleet.Probe().Send(voucher, "voucher");
    STRCMP_EQUAL("not-known", reply.mOutcome.c_str());
  }
  CHECK_EQUAL(1, fleet.Executions(key));
  CHECK_EQUAL(1, fleet.Sum("crashes"));
}

// Connections that go silent for good while new ones work must neither hold
// requests beyond their deadline nor take the upstream away for good.
TEST(Upstreams, SilentConnections)
{
  Fleet fleet;
  const auto sendMany = [&] {
    std::vector<HttpProbe::Pending> pending(24);
    for (auto& it : pending) {
      it = fleet.Probe().Start(fleet.Check(0));
    }
    for (const auto& it : pending) {
      CHECK_EQUAL(200, fleet.Probe().Wait(it).mStatus);
    }
  };
  sendMany(); // opens connections to all upstreams
  const int before = fleet.UpstreamStats(1).at("executed");
  CHECK_TRUE(before > 0);
  fleet.ControlUpstream(1, { { "silent", true } });
  fleet.Probe().RunFor(200ms);
  sendMany();
  // Requests on silent connections don't reach the upstream, so growth shows
  // that it is in use again.
  const int after = fleet.UpstreamStats(1).at("executed");
  CHECK_TRUE(fleet.Probe().Until(
    [&] {
      sendMany();
      return UpstreamState(fleet, 0, "sc-1") != "ejected" &&
             fleet.UpstreamStats(1).at("executed") > after;
    },
    30s));
}

TEST(Upstreams, WorkEndsWhenItsCallerLeaves)
{
  FleetSettings settings;
  settings.mMeanMs = 1500;
  Fleet fleet(settings);
  {
    HttpProbe caller;
    for (std::size_t i = 0; i < fleet.HostCount(); ++i) {
      caller.Start(fleet.Check(i));
    }
    CHECK_TRUE(caller.Until([&] { return fleet.Sum("executed") >= 3; }));
  }
  CHECK_TRUE(fleet.Probe().Until(
    [&] { return fleet.Sum("cancelled") == fleet.Sum("executed"); }));
}

// An upstream that says itself that it leaves must get no work after 2 s, and
// what it runs must finish. The stand-in refuses and counts later work.
TEST(Upstreams, DrainByOwnWord)
{
  Fleet fleet;
  const auto caller =
    fleet.StartCaller({ "--mix", "checks:90,once:10", "--rate", "120",
                        "--seconds", "6", "--seed", "7" });
  CHECK_TRUE(fleet.Probe().Until(
    [&] { return fleet.UpstreamStats(0).at("executed") > 20; }));
  fleet.ControlUpstream(0, { { "draining", true } });
  const Json report = fleet.WaitForReport(*caller);
  CheckAllServed(report, "checks");
  CheckAllServed(report, "once");
  const Json stats = fleet.UpstreamStats(0);
  CHECK_EQUAL(0, stats.at("work_after_drain").get<int>());
  CheckOnlyHedgesCancelled(fleet, stats);
}

// An upstream that the operators name as leaving must get no work 2 s after
// the publication, and what it runs must finish.
TEST(Upstreams, DrainByPublishedFile)
{
  Fleet fleet;
  const auto caller =
    fleet.StartCaller({ "--mix", "checks:90,once:10", "--rate", "120",
                        "--seconds", "7", "--seed", "7" });
  CHECK_TRUE(fleet.Probe().Until(
    [&] { return fleet.UpstreamStats(0).at("executed") > 20; }));
  fleet.WriteFiles(fleet.Directory() + "/drain", { "sc-0" });
  const ToolRun run = fleet.Publish(fleet.Directory() + "/drain");
  CHECK_EQUAL_TEXT(0, run.mExitCode, run.mOutput.c_str());
  fleet.Probe().RunFor(2s);
  CHECK_TRUE(caller->IsRunning());
  const int executed = fleet.UpstreamStats(0).at("executed");
  const int others = fleet.Sum("executed");
  const Json report = fleet.WaitForReport(*caller);
  CheckAllServed(report, "checks");
  CheckAllServed(report, "once");
  const Json stats = fleet.UpstreamStats(0);
  CHECK_EQUAL(executed, stats.at("executed").get<int>());
  CheckOnlyHedgesCancelled(fleet, stats);
  CHECK_TRUE(fleet.Sum("executed") > others);
}

// A planned stop of a host under load must not fail a request of any kind,
// cut one off, or issue a voucher twice.
TEST(Upstreams, PlannedStopOfHost)
{
  Fleet fleet;
  const auto caller = fleet.StartCaller(
    { "--mix", "checks:70,once:15,uploads:15", "--rate", "80", "--seconds", "8",
      "--seed", "7", "--upload-service", "doc-intake" });
  CHECK_TRUE(fleet.Probe().Until([&] { return fleet.Sum("executed") > 60; }));
  fleet.Host(0).Signal(SIGTERM);
  CHECK_TRUE(
    fleet.Probe().Until([&] { return !fleet.Host(0).IsRunning(); }, 40s));
  CHECK_EQUAL(0, fleet.Host(0).ExitCode().value_or(-1));
  STRCMP_CONTAINS("requests_cut=0", fleet.Host(0).Output().c_str());
  const Json report = fleet.WaitForReport(*caller);
  for (const char* it : { "checks", "once", "uploads" }) {
    CheckAllServed(report, it);
  }
  CHECK_EQUAL(0, fleet.Sum("doubled"));
}

// Guards against connections that a host closes without an answer when it stops
// before its requests have ended.
TEST(Upstreams, ForcedStopOfHostAnswersWhatIsInFlight)
{
  FleetSettings settings;
  settings.mMeanMs = 3000;
  Fleet fleet(settings);
  const auto check = fleet.Probe().Start(fleet.Check(0));
  const auto voucher =
    fleet.Probe().Start(fleet.Voucher(0, fleet.NewKey()), "voucher");
  CHECK_TRUE(fleet.Probe().Until([&] { return fleet.Sum("executed") >= 2; }));
  fleet.Host(0).Signal(SIGTERM);
  fleet.Probe().RunFor(100ms);
  fleet.Host(0).Signal(SIGTERM);
  for (const auto& it : { check, voucher }) {
    const Reply reply = fleet.Probe().Wait(it);
    CHECK_EQUAL(502, reply.mStatus);
    STRCMP_EQUAL("not-known", reply.mOutcome.c_str());
  }
  CHECK_TRUE(
    fleet.Probe().Until([&] { return !fleet.Host(0).IsRunning(); }, 5s));
}

// Uploads must arrive at the upstream byte for byte while others run.
TEST(Upstreams, UploadsArriveWhole)
{
  Fleet fleet;
  const auto caller =
    fleet.StartCaller({ "--mix", "uploads:100", "--rate", "20", "--seconds",
                        "2", "--seed", "7", "--upload-service", "doc-intake" });
  CheckAllServed(fleet.WaitForReport(*caller), "uploads");
}
