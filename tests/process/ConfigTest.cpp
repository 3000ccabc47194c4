#include "support/Fleet.h"

#include <csignal>

// Last, because CppUTest defines a macro named new.
#include <CppUTest/TestHarness.h>

using namespace auburnmux;
using namespace auburnmux::process;
using namespace std::chrono_literals;

TEST_GROUP(Configuration){
  /** Publishes version 2 of the files. */
  static void PublishSecond(Fleet & aFleet){
    const std::string files = aFleet.Directory() + "/second";
aFleet.WriteFiles(files, {}, 200);
const ToolRun run = aFleet.Publish(files);
CHECK_EQUAL_TEXT(0, run.mExitCode, run.mOutput.c_str());
}
}
;

// Hosts that all restart during an outage of the platform must take the
// newest configuration from the hosts of other data centres.
TEST(Configuration, DataCentreRestartedWhilePlatformIsDown)
{
  Fleet fleet({ 2, 2, 2 });
  PublishSecond(fleet);
  fleet.SetFaults({ { "down", true } });
  for (const std::size_t host : { 0, 1 }) {
    fleet.Host(host).Kill();
  }
  for (const std::size_t host : { 0, 1 }) {
    fleet.StartHost(host);
  }
  CHECK_TRUE(fleet.WaitUntilReady());
  for (std::size_t host = 0; host < fleet.HostCount(); ++host) {
    CHECK_EQUAL(2, fleet.ConfigVersion(host));
    CHECK_EQUAL(200, fleet.Probe().Send(fleet.Check(host)).mStatus);
  }
}

// A host that restarts while the platform answers with an old state must not
// stay at, or spread, a version that its peers have left behind.
TEST(Configuration, StaleReadsDontRevert)
{
  Fleet fleet;
  // The platform keeps the state before the publication, to show it later.
  fleet.SetFaults({ { "stale_reads_ms", 600000 } });
  const std::string files = fleet.Directory() + "/second";
  fleet.WriteFiles(files, {}, 200);
  CHECK_EQUAL(0, fleet.Publish(files, "test", false).mExitCode);
  fleet.SetFaults({ { "stale_reads_ms", 0 } });
  CHECK_TRUE(fleet.Probe().Until(
    [&] {
      return fleet.ConfigVersion(0) == 2 && fleet.ConfigVersion(1) == 2 &&
             fleet.ConfigVersion(2) == 2;
    },
    40s));
  fleet.SetFaults({ { "stale_reads_ms", 600000 } });
  fleet.Host(0).Kill();
  fleet.StartHost(0);
  CHECK_TRUE(fleet.WaitUntilReady());
  CHECK_TRUE(fleet.Probe().Until([&] { return fleet.ConfigVersion(0) == 2; }));
  for (int it = 0; it < 20; ++it) {
    fleet.Probe().RunFor(100ms);
    for (std::size_t host = 0; host < fleet.HostCount(); ++host) {
      CHECK_EQUAL(2, fleet.ConfigVersion(host));
    }
  }
}

// Two operators who publish at once must not overwrite each other: one wins,
// the other learns who did.
TEST(Configuration, TwoPublishersAtOnce)
{
  Fleet fleet;
  fleet.SetFaults({ { "delay_ms", 400 } });
  const std::string left = fleet.Directory() + "/left";
  const std::string right = fleet.Directory() + "/right";
  fleet.WriteFiles(left, {}, 200);
  fleet.WriteFiles(right, {}, 300);
  const auto first = fleet.StartPublish(left, "abebe");
  const auto second = fleet.StartPublish(right, "zenebech");
  const ToolRun one = fleet.WaitForTool(*first);
  const ToolRun two = fleet.WaitForTool(*second);
  const std::string text = one.mOutput + two.mOutput;
  CHECK_EQUAL_TEXT(1, one.mExitCode + two.mExitCode, text.c_str());
  const bool hasFirstWon = one.mExitCode == 0;
  STRCMP_CONTAINS(hasFirstWon ? "not published: abebe published version 2"
                              : "not published: zenebech published version 2",
                  (hasFirstWon ? two : one).mOutput.c_str());
  for (std::size_t host = 0; host < fleet.HostCount(); ++host) {
    CHECK_EQUAL(2, fleet.ConfigVersion(host));
  }
}

// One mistake must not hide another, and nothing of a folder with mistakes
// may take effect.
TEST(Configuration, MistakesAreAllReported)
{
  Fleet fleet;
  const std::string files = fleet.Directory() + "/mistakes";
  fleet.WriteFiles(files, {}, 200);
  const auto replace = [&](const std::string& aFile, const std::string& aOld,
                           const std::string& aNew) {
    std::string text = ReadText(files + aFile);
    const std::size_t at = text.find(aOld);
    CHECK_TRUE(at != std::string::npos);
    WriteText(files + aFile, text.replace(at, aOld.size(), aNew));
  };
  replace("/subsidy-core/service.json", "\"owner\"", "\"ownr\"");
  replace("/doc-intake/service.json", "\"slots\": 9", "\"slots\": 99999");
  replace("/topology.json", "\"host_slots\": 3", "\"host_slots\": \"three\"");
  const int writes = fleet.PlatformCounts().at("put");
  const ToolRun run = fleet.Publish(files);
  CHECK_EQUAL_TEXT(2, run.mExitCode, run.mOutput.c_str());
  for (const char* it : { "/subsidy-core/service.json:",
                          "/doc-intake/service.json:", "/topology.json:" }) {
    const std::size_t at = run.mOutput.find(it);
    CHECK_TRUE_TEXT(at != std::string::npos, run.mOutput.c_str());
    int line = 0;
    int column = 0;
    const std::string rest = run.mOutput.substr(at + std::string(it).size());
    CHECK_EQUAL(2, std::sscanf(rest.c_str(), "%d:%d: ", &line, &column));
    CHECK_TRUE(line > 0 && column > 0);
  }
  CHECK_EQUAL(writes, fleet.PlatformCounts().at("put").get<int>());
  CHECK_EQUAL(1, fleet.ConfigVersion(0));
}
