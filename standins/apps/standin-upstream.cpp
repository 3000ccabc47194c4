#include "standins/src/Upstream.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

using namespace auburnmux;
using namespace auburnmux::standins;

namespace {

cxxopts::Options DescribeFlags()
{
  cxxopts::Options options("standin-upstream", "upstreams of a service");
  const auto number = [](const char* aDefault) {
    return cxxopts::value<double>()->default_value(aDefault);
  };
  const auto text = [](const char* aDefault) {
    return cxxopts::value<std::string>()->default_value(aDefault);
  };
  auto add = options.add_options();
  add("config", "service.json that lists the upstreams", text(""));
  add("listen,first-address", "ADDRESS:PORT of the first upstream",
      text("127.0.0.1:19700"));
  add("count", "upstreams on consecutive addresses", number("1"));
  add("service", "name of the service", text("service"));
  add("class", "short (50 ms) or long (500 ms)", text("short"));
  add("slots", "concurrent requests", number("9"));
  add("connections", "connection limit", number("400"));
  add("queue", "requests that wait for a slot", number("4"));
  add("mean-ms", "mean service time; 0 takes that of the class", number("0"));
  add("sigma", "deviation of the service time's logarithm", number("0.3"));
  add("straggler-fraction", "share of stragglers", number("0"));
  add("straggler-factor", "slowness of stragglers", number("20"));
  add("cold-start-ms", "length of the cold start", number("0"));
  add("cold-factor", "slowness at its beginning", number("3"));
  add("drain-grace-ms", "until new work is refused", number("2000"));
  add("restart-ms", "until connections are accepted again after a crash",
      number("2000"));
  add("report-lag-ms", "lag of the load report", number("5000"));
  add("false-report", "report no load at all");
  add("seed", "seed of the random numbers", number("1"));
  add("help", "print this");
  return options;
}

UpstreamSettings ReadFlags(const cxxopts::ParseResult& aFlags)
{
  const auto number = [&](const char* aName) {
    return aFlags[aName].as<double>();
  };
  const bool isLong = aFlags["class"].as<std::string>() == "long";
  const double mean = number("mean-ms");
  UpstreamSettings it;
  it.mService = base::ServiceId(aFlags["service"].as<std::string>());
  it.mId = base::UpstreamId(it.mService.Text() + '-');
  it.mListen = ParseEndpoint(aFlags["listen"].as<std::string>())
                 .value_or(http::Endpoint());
  it.mSlots = base::SlotCount(static_cast<std::uint32_t>(number("slots")));
  it.mConnections =
    base::ConnectionCount(static_cast<std::uint32_t>(number("connections")));
  it.mQueueLimit = static_cast<std::size_t>(number("queue"));
  it.mMeanTime = Milliseconds(mean > 0 ? mean : isLong ? 500 : 50);
  it.mSigma = number("sigma");
  it.mStragglerFraction = number("straggler-fraction");
  it.mStragglerFactor = number("straggler-factor");
  it.mColdStart = Milliseconds(number("cold-start-ms"));
  it.mColdFactor = number("cold-factor");
  it.mDrainGrace = Milliseconds(number("drain-grace-ms"));
  it.mRestartTime = Milliseconds(number("restart-ms"));
  it.mReportLag = Milliseconds(number("report-lag-ms"));
  it.mReportsFalsely = aFlags.count("false-report") > 0;
  it.mSeed = static_cast<std::uint64_t>(number("seed"));
  return it;
}

std::vector<UpstreamSettings> ReadAll(const cxxopts::ParseResult& aFlags)
{
  const UpstreamSettings defaults = ReadFlags(aFlags);
  const auto config = aFlags["config"].as<std::string>();
  if (!config.empty()) {
    std::ifstream in(config);
    return ReadServiceFile(Json::parse(in), defaults);
  }
  return OnConsecutiveAddresses(
    defaults, static_cast<std::uint32_t>(aFlags["count"].as<double>()));
}

} // namespace

int main(int aArgc, char** aArgv)
{
  cxxopts::Options options = DescribeFlags();
  try {
    const auto flags = options.parse(aArgc, aArgv);
    if (flags.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    http::Loop loop;
    KeyLedger ledger;
    std::list<Upstream> upstreams;
    for (const UpstreamSettings& it : ReadAll(flags)) {
      upstreams.emplace_back(loop, ledger, it);
      if (!upstreams.back().IsListening()) {
        std::cerr << "can't listen on " << it.mListen.mAddress << ':'
                  << it.mListen.mPort << '\n';
        return 1;
      }
    }
    loop.Run();
  } catch (const std::exception& ex) {
    std::cerr << ex.what() << '\n';
    return 2;
  }
  return 0;
}
