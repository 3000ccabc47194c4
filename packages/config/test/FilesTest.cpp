#include "config/Config.h"

#include "base/test/support/Property.h"
#include "config/test/support/Samples.h"

using namespace auburnmux;
using namespace auburnmux::config;
using test::Replaced;

namespace {

std::string ReportOf(const std::string& aTopology, const std::string& aService)
{
  ParseReport report;
  test::ReadBoth(aTopology, aService, report);
  return report.mErrors.Report();
}

/** Checks that the change of a service file gives the finding. */
void CheckService(const char* aFrom, const char* aTo, const char* aFinding)
{
  const std::string text = Replaced(test::kService, aFrom, aTo);
  STRCMP_CONTAINS(aFinding, ReportOf(test::kTopology, text).c_str());
}

/** Checks that the change of a topology file gives the finding. */
void CheckTopology(const char* aFrom, const char* aTo, const char* aFinding)
{
  const std::string text = Replaced(test::kTopology, aFrom, aTo);
  STRCMP_CONTAINS(aFinding, ReportOf(text, test::kService).c_str());
}

} // namespace

TEST_GROUP(Files){};

TEST(Files, ValidFilesGiveNoFinding)
{
  STRCMP_EQUAL("", ReportOf(test::kTopology, test::kService).c_str());
}

// Guards against an operator needing one run for each mistake.
TEST(Files, ReportsAllFindingsInOnePass)
{
  std::string text = Replaced(test::kService, "\"slots\": 9", "\"slots\": 0");
  text = Replaced(text, "\"once\"", "\"twice\"");
  text = Replaced(text, "\"owner\"", "\"ovner\"");
  ParseReport report;
  ParseServiceFile(text, "s.json", report);
  STRCMP_EQUAL(
    "s.json:1:1: service needs the key \"owner\"\n"
    "s.json:3:3: unknown key \"ovner\" in service; known: service, owner, "
    "upstreams, routes, spill, leaving, slow_start_s, stall_ms\n"
    "s.json:6:30: slots of upstream must be a whole number from 1 to 4096 "
    "slots\n"
    "s.json:13:15: work of route must be one of \"idempotent\", \"once\"\n",
    report.mErrors.Report().c_str());
}

// Guards against files that are each valid but not together.
TEST(Files, ChecksServicesAgainstTheTopology)
{
  CheckService("sc-2", "sc-1", "upstream \"sc-1\" is used twice; first at s");
  CheckService("127.0.0.3", "127.0.0.2", "address \"127.0.0.2:9001\" is used");
  CheckService("hawassa-1", "hawassa-9", "\"hawassa-9\" is not in the topo");
  CheckService("\"spill\"", "\"leaving\": [\"sc-9\"], \"spill\"",
               "leaving upstream \"sc-9\" is not an upstream");
  CheckService("\"spill\"", "\"leaving\": [\"sc-1\", \"sc-2\"], \"spill\"",
               "s.json:2:14: service \"subsidy-core\" has no upstream that");
  CheckService("/v1/vouchers\", \"methods\": [\"POST\"]",
               "/v1/checks/\", \"methods\": [\"GET\"]",
               "route \"GET /v1/checks\" is used twice");
  CheckService("0.25", "1.5", "must be a number from 0 to 1 of the slots");
  CheckService("\"ramp_per_s\": 4",
               "\"ramp_per_s\": 4, \"mbit_per_slot\": 9999",
               "add up to 22497.8 Mbit/s; its smallest link carries 4000");
  CheckService("\"slots\": 9, \"connections\": 400 } ]",
               "\"slots\": 1, \"connections\": 2 } ]",
               "connections of \"sc-1\" are fewer than the region's 3");
  CheckService("subsidy-core", "Subsidy", "must be a name of a-z");
}

TEST(Files, ChecksTheTopology)
{
  CheckTopology("addis-2", "addis-1", "data centre \"addis-1\" is used twice");
  CheckTopology("\"hawassa\", \"addis\"", "\"sfax\", \"addis\"",
                "region \"sfax\" is not in the topology");
  CheckTopology("\"hawassa\", \"addis\"", "\"addis\", \"addis\"",
                "between must hold two different names");
  CheckTopology("\"data_centre\": \"addis-2\"", "\"data_centre\": \"x\"",
                "data centre \"x\" is not in the topology");
  CheckTopology("10.1.0.0/16", "10.1.0.1/16", "blocks must hold IPv4");
  CheckTopology("10.1.0.0/16", "10.2.0.0/16", "block \"10.2.0.0/16\" is used");
  CheckTopology("20 }", "-1 }", "must be a number from 0 to 1000 ms");
}

TEST(Files, TopologyAnswersQuestions)
{
  ParseReport report;
  const Snapshot it = test::ReadBoth(test::kTopology, test::kService, report);
  const base::DataCentreId left("addis-1");
  const TopologyFile& topology = it.mTopology;
  LONGS_EQUAL(
    500, topology.OneWayDelay(left, base::DataCentreId("addis-2")).count());
  LONGS_EQUAL(
    20000, topology.OneWayDelay(left, base::DataCentreId("hawassa-1")).count());
  LONGS_EQUAL(0, topology.OneWayDelay(left, left).count());
  LONGS_EQUAL(3, topology.HostSlotsOfRegion(base::RegionId("addis")).Count());
  LONGS_EQUAL(
    4000,
    topology.LinkLimit(base::RegionId("addis"), base::RegionId("hawassa"))
      ->Count());
}

// Guards against a prefix that matches inside a path segment.
TEST(Files, RoutesMatchWholeSegments)
{
  ParseReport report;
  const ServiceFile it = ParseServiceFile(test::kService, "s.json", report);
  CHECK_TRUE(it.FindRoute(HttpMethod::Get, "/v1/checks/7") != nullptr);
  CHECK_TRUE(it.FindRoute(HttpMethod::Get, "/v1/checks") != nullptr);
  CHECK_TRUE(it.FindRoute(HttpMethod::Get, "/v1/checkstand") == nullptr);
  CHECK_TRUE(it.FindRoute(HttpMethod::Get, "/v1/vouchers") == nullptr);
}

TEST(Files, HostSettings)
{
  ParseReport report;
  const HostSettings it = ParseHostSettings(test::kHost, "h.json", report);
  CHECK_TRUE(report.IsGood());
  STRCMP_CONTAINS("no fleet_key", report.mWarnings.Report().c_str());
  STRCMP_EQUAL("127.0.0.4:7000", it.mSeeds.at(0).mPeer.Text().c_str());
}

// Guards against hosts that divide the idempotency keys differently, which
// would let two of them claim one key.
TEST(Files, PartitionsOfKeysAreNoSetting)
{
  ParseReport report;
  ParseHostSettings(
    Replaced(test::kHost, "\"seeds\"", "\"claim_partitions\": 8, \"seeds\""),
    "h.json", report);
  STRCMP_CONTAINS("unknown key \"claim_partitions\"",
                  report.mErrors.Report().c_str());
}

// Guards against a secret that reaches the log through a finding.
TEST(Files, FindingsNeverHoldTheSecretKey)
{
  const std::string text =
    Replaced(test::kHost, "\"seeds\"",
             "\"fleet_key\": { \"public\": \"p\", \"secret\": \"hush~\" },"
             "\"seeds\"");
  ParseReport report;
  ParseHostSettings(text, "h.json", report);
  const std::string findings = report.mErrors.Report();
  STRCMP_CONTAINS("secret must be a Z85 key of 40 characters",
                  findings.c_str());
  CHECK_TRUE(findings.find("hush") == std::string::npos);
}

// Guards against equal configurations with different digests, and against a
// snapshot that a host reads differently from how it was published.
TEST(Files, SnapshotEncodingIsCanonical)
{
  ParseReport report;
  const Snapshot it = test::ReadBoth(test::kTopology, test::kService, report);
  const std::string bytes = EncodeSnapshot(it);
  const auto decoded = DecodeSnapshot(bytes);
  CHECK_TRUE(std::holds_alternative<Snapshot>(decoded));
  const Snapshot& read = std::get<Snapshot>(decoded);
  STRCMP_EQUAL(bytes.c_str(), EncodeSnapshot(read).c_str());
  STRCMP_EQUAL("sc-1", read.mServices[0].mUpstreams[0].mId.Text().c_str());
  LONGS_EQUAL(500, read.mTopology.mDelays.mInRegion.count());
}

// Guards against an unknown format being read as if it were known.
TEST(Files, SnapshotErrorsAreTyped)
{
  const std::string bytes = test::SampleBytes(1);
  const auto kind = [](const std::string& aBytes) {
    return std::get<SnapshotError>(DecodeSnapshot(aBytes)).mKind;
  };
  using Kind = SnapshotError::Kind;
  CHECK_TRUE(kind(Replaced(bytes, "\"format\":1", "\"format\":7")) ==
             Kind::UnknownFormat);
  CHECK_TRUE(kind("[]") == Kind::UnknownFormat);
  CHECK_TRUE(kind(bytes.substr(0, 99)) == Kind::NotJson);
  CHECK_TRUE(kind(Replaced(bytes, "addis-1", "addis-9")) == Kind::Invalid);
  CHECK_TRUE(kind(std::string(8'000'001, ' ')) == Kind::TooLarge);
}
