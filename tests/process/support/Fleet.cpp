#include "support/Fleet.h"

#include <filesystem>
#include <unistd.h>

// Last, because CppUTest defines a macro named new.
#include <CppUTest/TestHarness.h>

namespace auburnmux::process {

namespace {

constexpr std::uint16_t kHttpPort = 8080;
constexpr std::uint16_t kPeerPort = 7000;
constexpr std::uint16_t kPlatformPort = 8500;
constexpr std::uint16_t kUpstreamPort = 9001;
constexpr std::size_t kPlatformOctet = 250;
constexpr std::size_t kShortOctet = 100;
constexpr std::size_t kLongOctet = 150;
constexpr std::size_t kMaxFleets = 250;

constexpr base::Duration kAskTimeout = std::chrono::seconds(2);
constexpr base::Duration kStartBound = std::chrono::seconds(40);

/** Each fleet has addresses of its own, so that none waits for closed
 * connections of another one. */
unsigned NextOctet()
{
  static unsigned sNext = static_cast<unsigned>(getpid());
  return 1 + sNext++ % kMaxFleets;
}

std::string MakeDirectory()
{
  std::string name =
    (std::filesystem::temp_directory_path() / "auburnmux-process-XXXXXX")
      .string();
  CHECK_TRUE(mkdtemp(name.data()) != nullptr);
  return name;
}

std::string Text(const http::Endpoint& aEndpoint)
{
  return aEndpoint.mAddress + ':' + std::to_string(aEndpoint.mPort.Count());
}

http::Endpoint At(std::string aAddress, std::uint16_t aPort)
{
  return { std::move(aAddress), base::PortNumber(aPort) };
}

} // namespace

Fleet::Fleet(FleetSettings aSettings)
  : mSettings(aSettings)
  , mOctet(NextOctet())
  , mDirectory(MakeDirectory())
  , mHosts(aSettings.mCentres * aSettings.mHostsPerCentre)
{
  mPlatform = std::make_unique<Process>(
    std::vector<std::string>{ STANDIN_PLATFORM, "--listen",
                              Text(PlatformEndpoint()) },
    OutputName("platform"));
  const std::string files = mDirectory + "/files";
  WriteFiles(files);
  StartUpstreams("subsidy-core", mSettings.mMeanMs);
  StartUpstreams("doc-intake", 100);
  CHECK_TRUE_TEXT(
    mProbe.Until([this] { return PlatformCounts().is_object(); }, kStartBound),
    "the platform's stand-in does not answer");
  CHECK_EQUAL(0, Publish(files, "test", false).mExitCode);
  for (std::size_t it = 0; it < mHosts.size(); ++it) {
    StartHost(it);
  }
  CHECK_TRUE_TEXT(WaitUntilReady(), "the hosts are not ready");
}

Fleet::~Fleet()
{
  mHosts.clear();
  mUpstreams.clear();
  mPlatform.reset();
  std::error_code ec;
  std::filesystem::remove_all(mDirectory, ec);
}

std::string Fleet::HostName(std::size_t aHost)
{
  return "h" + std::to_string(aHost);
}

std::string Fleet::Address(std::size_t aLast) const
{
  return "127.30." + std::to_string(mOctet) + '.' + std::to_string(aLast);
}

http::Endpoint Fleet::HostEndpoint(std::size_t aHost) const
{
  return At(Address(aHost + 1), kHttpPort);
}

http::Endpoint Fleet::PlatformEndpoint() const
{
  return At(Address(kPlatformOctet), kPlatformPort);
}

std::string Fleet::OutputName(const std::string& aProgram)
{
  return mDirectory + '/' + std::to_string(++mOutputs) + '-' + aProgram +
         ".log";
}

void Fleet::StartHost(std::size_t aHost)
{
  mHosts[aHost].reset();
  const std::string file = mDirectory + '/' + HostName(aHost) + ".json";
  WriteText(file, HostSettings(aHost).dump(2));
  mHosts[aHost] = std::make_unique<Process>(
    std::vector<std::string>{ AUBURNMUX_DAEMON, "--settings", file },
    OutputName(HostName(aHost)));
}

bool Fleet::WaitUntilReady()
{
  return mProbe.Until(
    [this] {
      for (std::size_t it = 0; it < mHosts.size(); ++it) {
        if (mProbe.Send({ HostEndpoint(it), "GET", "/readyz" }, {}, kAskTimeout)
              .mStatus != 200) {
          return false;
        }
        for (std::size_t peer = 0; peer < mHosts.size(); ++peer) {
          if (PeerState(it, peer) != "alive") {
            return false;
          }
        }
      }
      return true;
    },
    kStartBound);
}

void Fleet::StartUpstreams(const std::string& aService, double aMeanMs)
{
  mUpstreams.push_back(std::make_unique<Process>(
    std::vector<std::string>{
      STANDIN_UPSTREAM, "--config",
      mDirectory + "/files/" + aService + "/service.json", "--mean-ms",
      std::to_string(aMeanMs), "--sigma", "0", "--queue", "20" },
    OutputName(aService)));
}

Json Fleet::ServiceFile(bool aIsShort, const std::vector<std::string>& aLeaving,
                        int aRamp) const
{
  Json upstreams = Json::array();
  for (std::size_t centre = 0; centre < mSettings.mCentres; ++centre) {
    for (std::size_t n = 0; n < mSettings.mUpstreams; ++n) {
      const std::size_t it = centre * mSettings.mUpstreams + n;
      upstreams.push_back(
        { { "id", (aIsShort ? "sc-" : "di-") + std::to_string(it) },
          { "data_centre", "dc-" + std::to_string(centre) },
          { "address", Address((aIsShort ? kShortOctet : kLongOctet) + it) },
          { "port", kUpstreamPort },
          { "slots", 9 },
          { "connections", 400 } });
    }
  }
  const auto route = [](const char* aPath, const char* aMethod,
                        const char* aWork, const char* aClass, int aDeadline,
                        int aMaxBody) {
    return Json{ { "path", aPath },
                 { "methods", { aMethod } },
                 { "work", aWork },
                 { "class", aClass },
                 { "deadline_ms", aDeadline },
                 { "max_body_bytes", aMaxBody } };
  };
  Json routes = Json::array();
  if (aIsShort) {
    routes.push_back(
      route("/v1/applications", "GET", "idempotent", "short", 5000, 0));
    routes.push_back(
      route("/v1/vouchers", "POST", "once", "short", 8000, 65536));
  } else {
    routes.push_back(
      route("/v1/documents", "PUT", "idempotent", "long", 30000, 1000000));
  }
  return { { "service", aIsShort ? "subsidy-core" : "doc-intake" },
           { "owner", "process tests" },
           { "upstreams", upstreams },
           { "routes", routes },
           { "spill", { { "max_share", 0.2 }, { "ramp_per_s", aRamp } } },
           { "leaving", aLeaving },
           { "slow_start_s", 0 },
           { "stall_ms", 500 } };
}

Json Fleet::TopologyFile() const
{
  Json centres = Json::array();
  for (std::size_t it = 0; it < mSettings.mCentres; ++it) {
    centres.push_back({ { "name", "dc-" + std::to_string(it) },
                        { "host_slots", mSettings.mHostsPerCentre } });
  }
  return {
    { "regions", { { { "name", "region" }, { "data_centres", centres } } } },
    { "delays", { { "in_region_ms", 1 }, { "between_regions_ms", 20 } } }
  };
}

Json Fleet::HostSettings(std::size_t aHost) const
{
  Json seeds = Json::array();
  for (std::size_t it = 0; it < mHosts.size(); ++it) {
    if (it != aHost) {
      seeds.push_back({ { "host", HostName(it) },
                        { "address", Address(it + 1) },
                        { "port", kPeerPort } });
    }
  }
  const std::size_t centre = aHost / mSettings.mHostsPerCentre;
  const auto endpoint = [](const std::string& aAddress, int aPort) {
    return Json{ { "address", aAddress }, { "port", aPort } };
  };
  return { { "host", HostName(aHost) },
           { "region", "region" },
           { "data_centre", "dc-" + std::to_string(centre) },
           { "listen", endpoint(Address(aHost + 1), kHttpPort) },
           { "peer", endpoint(Address(aHost + 1), kPeerPort) },
           { "platform", endpoint(Address(kPlatformOctet), kPlatformPort) },
           { "seeds", seeds } };
}

void Fleet::WriteFiles(const std::string& aDirectory,
                       const std::vector<std::string>& aLeaving,
                       int aRamp) const
{
  for (const bool isShort : { true, false }) {
    const Json file = ServiceFile(
      isShort, isShort ? aLeaving : std::vector<std::string>(), aRamp);
    const std::string folder =
      aDirectory + '/' + file["service"].get<std::string>();
    std::filesystem::create_directories(folder);
    WriteText(folder + "/service.json", file.dump(2));
  }
  WriteText(aDirectory + "/topology.json", TopologyFile().dump(2));
}

http::ClientRequest Fleet::Check(std::size_t aHost,
                                 const std::string& aQuery) const
{
  return { HostEndpoint(aHost), "GET",
           "/subsidy-core/v1/applications/1" + aQuery };
}

http::ClientRequest Fleet::Voucher(std::size_t aHost,
                                   const std::string& aKey) const
{
  return { HostEndpoint(aHost),
           "POST",
           "/subsidy-core/v1/vouchers",
           { { "idempotency-key", aKey } } };
}

Reply Fleet::SendUntil(const http::ClientRequest& aVoucher,
                       const std::set<std::string>& aWanted)
{
  Reply reply;
  mProbe.Until(
    [&] {
      reply = mProbe.Send(aVoucher, "voucher");
      return aWanted.count(reply.mOutcome) > 0;
    },
    kStartBound);
  return reply;
}

std::string Fleet::NewKey()
{
  const auto now = static_cast<unsigned long long>(
    http::Loop::WallNow().time_since_epoch().count());
  const unsigned long long low = mRandom.Next();
  char buf[37];
  std::snprintf(buf, sizeof buf, "%08llx-%04llx-7%03llx-%04llx-%012llx",
                (now >> 16U) & 0xffffffffULL, now & 0xffffULL,
                static_cast<unsigned long long>(mRandom.Below(0x1000)),
                0x8000ULL | (low >> 50U), low & 0xffffffffffffULL);
  return buf;
}

Json Fleet::Ask(const http::ClientRequest& aRequest, const std::string& aBody)
{
  const Reply reply = mProbe.Send(aRequest, aBody, kAskTimeout);
  return reply.mStatus == 200 ? reply.ParseBody()
                              : Json(Json::value_t::discarded);
}

Json Fleet::Status(std::size_t aHost)
{
  return Ask({ HostEndpoint(aHost), "GET", "/v1/status" });
}

std::string Fleet::PeerState(std::size_t aHost, std::size_t aPeer)
{
  const Json status = Status(aHost);
  if (status.is_object()) {
    for (const Json& it : status["peers"]) {
      if (it["host"] == HostName(aPeer)) {
        return it["state"];
      }
    }
  }
  return "unknown";
}

int Fleet::ConfigVersion(std::size_t aHost)
{
  const Json status = Status(aHost);
  return status.is_object() ? status["config"]["version"].get<int>() : -1;
}

std::set<std::string> Fleet::LookUp(std::size_t aHost)
{
  const Json answer =
    Ask({ HostEndpoint(aHost), "GET", "/v1/lookup?service=subsidy-core" });
  std::set<std::string> names;
  if (answer.is_object()) {
    for (const Json& it : answer["hosts"]) {
      names.insert(it["id"].get<std::string>());
    }
  }
  return names;
}

http::ClientRequest Fleet::UpstreamRequest(std::size_t aUpstream,
                                           const std::string& aTarget) const
{
  // Requests of the harness keep out of the way of silent connections.
  http::ClientRequest request{
    At(Address(kShortOctet + aUpstream), kUpstreamPort), "GET", aTarget
  };
  request.mNeedsFreshConnection = true;
  return request;
}

void Fleet::ControlUpstream(std::size_t aUpstream, const Json& aChange)
{
  http::ClientRequest request = UpstreamRequest(aUpstream, "/control");
  request.mMethod = "PUT";
  CHECK_TRUE(Ask(request, aChange.dump()).is_object());
}

Json Fleet::UpstreamStats(std::size_t aUpstream)
{
  return Ask(UpstreamRequest(aUpstream, "/control/stats"));
}

int Fleet::Sum(const std::string& aStatistic)
{
  int sum = 0;
  for (std::size_t it = 0; it < mSettings.mUpstreams * mSettings.mCentres;
       ++it) {
    // An upstream that restarts after a crash answers again soon.
    Json stats;
    CHECK_TRUE(mProbe.Until([&] {
      stats = UpstreamStats(it);
      return stats.is_object();
    }));
    sum += stats.at(aStatistic).get<int>();
  }
  return sum;
}

int Fleet::Executions(const std::string& aKey)
{
  Json keys;
  CHECK_TRUE(mProbe.Until([&] {
    keys = Ask(UpstreamRequest(0, "/control/keys"));
    return keys.is_object();
  }));
  return keys.value(aKey, 0);
}

void Fleet::SetFaults(const Json& aFaults)
{
  CHECK_TRUE(
    Ask({ PlatformEndpoint(), "PUT", "/control/faults" }, aFaults.dump())
      .is_object());
}

Json Fleet::PlatformCounts()
{
  return Ask({ PlatformEndpoint(), "GET", "/control/counts" });
}

std::unique_ptr<Process> Fleet::StartPublish(const std::string& aDirectory,
                                             const std::string& aBy,
                                             bool aWaitsForHosts)
{
  std::vector<std::string> arguments{ AUBURNMUX_TOOL,
                                      "publish",
                                      aDirectory,
                                      "--platform",
                                      Text(PlatformEndpoint()),
                                      "--by",
                                      aBy,
                                      "--wait-s",
                                      "30" };
  for (std::size_t it = 0; aWaitsForHosts && it < mHosts.size(); ++it) {
    arguments.insert(arguments.end(), { "--host", Text(HostEndpoint(it)) });
  }
  return std::make_unique<Process>(arguments, OutputName("publish"));
}

ToolRun Fleet::WaitForTool(Process& aTool)
{
  CHECK_TRUE_TEXT(mProbe.Until([&] { return !aTool.IsRunning(); }, kStartBound),
                  "the tool does not end");
  return { aTool.ExitCode().value_or(-1), aTool.Output() };
}

ToolRun Fleet::Publish(const std::string& aDirectory, const std::string& aBy,
                       bool aWaitsForHosts)
{
  return WaitForTool(*StartPublish(aDirectory, aBy, aWaitsForHosts));
}

std::unique_ptr<Process> Fleet::StartCaller(
  const std::vector<std::string>& aFlags)
{
  std::string entries;
  for (std::size_t it = 0; it < mHosts.size(); ++it) {
    entries += (it == 0 ? "" : ",") + Text(HostEndpoint(it));
  }
  std::vector<std::string> arguments{ STANDIN_CALLER, "--entry", entries };
  arguments.insert(arguments.end(), aFlags.begin(), aFlags.end());
  return std::make_unique<Process>(arguments, OutputName("caller"));
}

Json Fleet::WaitForReport(Process& aCaller)
{
  CHECK_TRUE_TEXT(
    mProbe.Until([&] { return !aCaller.IsRunning(); }, kStartBound),
    "the caller does not end");
  Json report = Json::parse(aCaller.Output(), nullptr, false);
  CHECK_TRUE_TEXT(report.is_object(), aCaller.Output().c_str());
  return report;
}

} // namespace auburnmux::process
