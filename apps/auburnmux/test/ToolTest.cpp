#include "auburnmux/src/CommandLine.h"
#include "auburnmux/src/Commands.h"
#include "auburnmux/src/FileCollector.h"
#include "auburnmux/src/Text.h"

#include "standins/src/Platform.h"

#include <filesystem>
#include <fstream>
#include <sstream>

// Last, because CppUTest defines a macro named new.
#include "base/test/support/Property.h"

using namespace auburnmux;
using namespace auburnmux::tool;

namespace {

constexpr const char* kAgency = AUBURNMUX_EXAMPLES "/agency";
constexpr const char* kBelhadj = AUBURNMUX_EXAMPLES "/belhadj";
constexpr const char* kPlatform = "127.0.0.1:19861";

/** A host that reports a version that the test sets. */
struct FakeHost
{
  FakeHost(http::Loop& aLoop, std::string aName, std::uint16_t aPort,
           const char* aAddress = "127.0.0.1")
    : mName(std::move(aName))
    , mServer(aLoop, { aAddress, base::PortNumber(aPort) },
              [this](const auto& aExchange) {
                mAsked = aExchange->Head();
                aExchange->Respond(200, {}, Body());
              })
  {
  }

  std::string Body() const
  {
    return R"({"host":")" + mName +
           R"(","data_centre":"addis-1","region":"addis","incarnation":5,
      "ready":true,"leaving":false,
      "config":{"version":)" +
           std::to_string(mVersion) +
           R"(,"digest":"d","age_s":3.5,"confirmed":true},
      "peers":[{"host":"x","state":"alive","data_centre":"addis-1")" +
           (mPeer.empty() ? "" : R"(,"address":")" + mPeer + '"') +
           R"(}],
      "services":[{"service":"subsidy-core","in_flight":4,"queued":2,
        "upstreams":[{"id":"sc-01","state":"ready","in_flight":4,
                      "share":4,"latency_ms":1.5}]}]})";
  }

  std::string mName;
  unsigned mVersion = 1;
  /** Address of the host that it knows; empty if it doesn't tell. */
  std::string mPeer;
  http::RequestHead mAsked;
  http::Server mServer;
};

ParsedCommandLine Parse(const std::vector<std::string>& aArguments)
{
  return ParseCommandLine(aArguments);
}

} // namespace

TEST_GROUP(Tool)
{
  http::Loop mLoop;
  standins::Platform mPlatform{ mLoop,
                                { { "127.0.0.1", base::PortNumber(19861) },
                                  { base::Duration::zero(),
                                    std::chrono::seconds(60) } } };
  FakeHost mFirst{ mLoop, "addis-1-a", 19862 };
  FakeHost mSecond{ mLoop, "addis-1-b", 19863 };
  http::Client mClient{ mLoop };
  std::ostringstream mOut;
  std::ostringstream mError;

  /** Sends one request to the stand-in. */
  void Send(const std::string& aTarget, const std::string& aBody)
  {
    http::ClientRequest request;
    request.mEndpoint = { "127.0.0.1", base::PortNumber(19861) };
    request.mMethod = "PUT";
    request.mTarget = aTarget;
    http::Fetch(mLoop, mClient, request, aBody, std::chrono::seconds(5),
                [this](const http::FetchResult& aResult) {
                  CHECK_TRUE(aResult.IsOk());
                  mLoop.Stop();
                });
    mLoop.Run();
  }
  void Announce(const FakeHost& aHost, int aPort)
  {
    Send("/v1/hosts/" + aHost.mName,
         R"({"address":"127.0.0.1:)" + std::to_string(aPort) +
           R"(","data_centre":"addis-1","leaving":false})");
  }
  void AnnounceBoth()
  {
    Announce(mFirst, 19862);
    Announce(mSecond, 19863);
  }

  /** Runs a command; its output replaces that of the one before. */
  ExitCode Run(std::vector<std::string> aArguments)
  {
    mOut.str("");
    mError.str("");
    aArguments.insert(aArguments.end(), { "--platform", kPlatform });
    const ParsedCommandLine parsed = Parse(aArguments);
    CHECK_TRUE_TEXT(parsed.mOptions.has_value(), parsed.mText.c_str());
    const Options& options = *parsed.mOptions;
    Session session(mLoop, options);
    const Output output{ mOut, mError };
    switch (options.mCommand) {
      case Command::Publish:
        return RunPublish(options, session, output);
      case Command::Status:
        return RunStatus(options, session, output);
      case Command::Explain:
        return RunExplain(options, session, output);
      default:
        return RunHistory(options, session, output);
    }
  }
  void CheckRun(ExitCode aCode, const std::vector<std::string>& aArguments)
  {
    const ExitCode code = Run(aArguments);
    CHECK_TRUE_TEXT(code == aCode, (mOut.str() + mError.str()).c_str());
  }
  void CheckOut(const char* aText) const
  {
    STRCMP_CONTAINS(aText, mOut.str().c_str());
  }
  void CheckError(const char* aText) const
  {
    STRCMP_CONTAINS(aText, mError.str().c_str());
  }
};

TEST(Tool, PublishesAndWaitsForEveryHost)
{
  AnnounceBoth();
  CheckRun(ExitCode::Done, { "publish", kAgency, "--by", "Hanna" });
  CheckOut("+ upstream sc-35 of subsidy-core\n");
  CheckOut("published version 1\nin force at 2 of 2 hosts");
  CheckRun(ExitCode::Done, { "history" });
  CheckOut("Hanna");
}

// Guards against a new version for content that is already in force.
TEST(Tool, SameContentIsNotPublishedAgain)
{
  AnnounceBoth();
  CheckRun(ExitCode::Done, { "publish", kAgency });
  CheckRun(ExitCode::Done, { "publish", kAgency });
  CheckOut("nothing to publish: version 1");
}

// Guards against a publish that calls itself done while a host is behind.
TEST(Tool, NamesTheHostsThatAreBehindOrSilent)
{
  AnnounceBoth();
  mSecond.mVersion = 0;
  Send("/v1/hosts/gone",
       R"({"address":"127.0.0.1:19864","data_centre":"addis-1"})");
  CheckRun(ExitCode::Failed, { "publish", kAgency, "--wait-s", "0" });
  CheckOut("published version 1\nin force at 1 of 3 hosts");
  CheckError("not yet in force at addis-1-b (version 0)");
  CheckError("no answer from gone");
}

// Guards against a second version, or a false report, after lost answers.
TEST(Tool, LostAnswersAreResolved)
{
  AnnounceBoth();
  Send("/control/faults", R"({"lose_next_answers":2})");
  CheckRun(ExitCode::Done, { "publish", kAgency, "--json" });
  CheckOut(R"("outcome": "published")");
  CheckOut(R"("version": 1)");
}

// Guards against "not published" being reported while nobody can know.
TEST(Tool, ReportsAnOutage)
{
  Send("/control/faults", R"({"down":true})");
  CheckRun(ExitCode::Failed, { "publish", kAgency });
  CheckError("not published: the platform doesn't answer");
}

// One command shows which configuration each host follows, without the
// platform's list of hosts.
TEST(Tool, ShowsTheVersionOfEachHostThatOneKnows)
{
  FakeHost other(mLoop, "addis-2-a", 19862, "127.0.0.2");
  other.mVersion = 7;
  mFirst.mPeer = "127.0.0.2";
  CheckRun(ExitCode::Done, { "status", "--via", "127.0.0.1:19862" });
  CheckOut("addis-1-a  addis-1      ready  1 ");
  CheckOut("addis-2-a  addis-1      ready  7 ");
}

TEST(Tool, ShowsStatusAndExplains)
{
  AnnounceBoth();
  CheckRun(ExitCode::Done, { "status" });
  CheckOut("addis-1-b  addis-1      ready  1        yes        3 s  1 alive");
  CheckOut("subsidy-core  2      8          4       2 ready");
  CheckRun(ExitCode::Done, { "explain", "subsidy-core", "--from", "addis-1",
                             "--path", "/v1/a b" });
  const auto asked = [this](const char* aKey) {
    return http::QueryValue(mFirst.mAsked.mQuery, aKey).value_or("none");
  };
  STRCMP_EQUAL("/v1/explain", mFirst.mAsked.mPath.c_str());
  STRCMP_EQUAL("subsidy-core", asked("service").c_str());
  STRCMP_EQUAL("GET", asked("method").c_str());
  STRCMP_EQUAL("/v1/a b", asked("path").c_str());
}

TEST_GROUP(CommandLine){};

TEST(CommandLine, TellsBadUsageFromHelp)
{
  CHECK_TRUE(Parse({}).mCode == ExitCode::BadInput);
  CHECK_TRUE(Parse({ "--help" }).mCode == ExitCode::Done);
  CHECK_TRUE(Parse({ "--version" }).mCode == ExitCode::Done);
  CHECK_TRUE(Parse({ "publish", "--help" }).mCode == ExitCode::Done);
  const std::vector<std::vector<std::string>> bad = {
    { "rollback" },
    { "check" },
    { "check", "--platform", kPlatform, "d" },
    { "publish", "d" },
    { "publish", "d", "--platform", "localhost:1" },
    { "publish", "d", "--platform", kPlatform, "--wait-s", "x" },
    { "publish", "d", "--platform", kPlatform, "--by", "" },
    { "status", "extra", "--platform", kPlatform },
    { "explain", "--from", "addis-1", "--platform", kPlatform },
    { "explain", "subsidy-core", "--platform", kPlatform },
    { "history", "--platform", "127.0.0.1:99999" },
  };
  for (const auto& it : bad) {
    const ParsedCommandLine parsed = Parse(it);
    CHECK_FALSE(parsed.mOptions.has_value());
    CHECK_TRUE(parsed.mCode == ExitCode::BadInput);
    CHECK_FALSE(parsed.mText.empty());
  }
  CHECK_TRUE(
    Parse({ "status", "--host", "127.0.0.1:80" }).mOptions.has_value());
}

TEST_GROUP(Text){};

// Guards against a path that adds parameters to the query of explain.
TEST(Text, PercentEncodesAllReservedCharacters)
{
  STRCMP_EQUAL("%2Fv1%2Fa%20b%26c%3D%25%C3%A9-._~",
               PercentEncoded("/v1/a b&c=%\xc3\xa9-._~").c_str());
}

TEST_GROUP(FileCollector){};

// Guards against example host files that don't fit their topology.
TEST(FileCollector, ExampleHostsAreValid)
{
  std::size_t n = 0;
  for (const std::string directory : { kAgency, kBelhadj }) {
    const CollectedFiles files = CollectFiles({ directory });
    const config::TopologyFile& topology = files.mSnapshot.mTopology;
    for (const auto& it :
         std::filesystem::directory_iterator(directory + "/hosts")) {
      std::ifstream in(it.path());
      const std::string text(std::istreambuf_iterator<char>(in), {});
      config::ParseReport report;
      const auto host =
        config::ParseHostSettings(text, it.path().string(), report);
      STRCMP_EQUAL("", report.mErrors.Report().c_str());
      const config::Region* region = topology.RegionOf(host.mDataCentre);
      CHECK_TRUE(region != nullptr && region->mName == host.mRegion);
      ++n;
    }
  }
  LONGS_EQUAL(14, n);
}

// Guards against findings that are reported one run at a time, or that stop
// at the first unreadable file.
TEST(FileCollector, ReportsProblemsOfTheWholeTree)
{
  CHECK_TRUE(CollectFiles({ kAgency }).mReport.IsGood());
  const std::string both =
    CollectFiles({ kAgency, kBelhadj }).mReport.mErrors.Report();
  STRCMP_CONTAINS("topology.json:1:1: is a second topology.json", both.c_str());
  STRCMP_CONTAINS("\"sahel-1\" is not in the topology", both.c_str());
  const std::string missing =
    CollectFiles({ "/nowhere" }).mReport.mErrors.Report();
  STRCMP_CONTAINS("/nowhere:1:1: can't be read", missing.c_str());
  STRCMP_CONTAINS("has no topology.json", missing.c_str());
}
