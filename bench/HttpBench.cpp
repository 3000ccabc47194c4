#include "base/Base.h"
#include "http/Http.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <unistd.h>
#include <vector>

namespace {

using namespace auburnmux;

/** Where a measured request goes. */
struct Target
{
  http::Endpoint mEndpoint;
  std::string mPath;
};

/** \returns the target in `ADDRESS:PORT/PATH`, or nothing. */
std::optional<Target> ParseTarget(const std::string& aText)
{
  const std::size_t colon = aText.find(':');
  const std::size_t slash = aText.find('/');
  if (colon == std::string::npos || slash == std::string::npos ||
      slash < colon) {
    return std::nullopt;
  }
  const int port =
    std::atoi(aText.substr(colon + 1, slash - colon - 1).c_str());
  return Target{ { aText.substr(0, colon),
                   base::PortNumber(static_cast<std::uint16_t>(port)) },
                 aText.substr(slash) };
}

/** CPU time that a process has used, in seconds. */
double CpuSeconds(int aPid)
{
  std::ifstream in("/proc/" + std::to_string(aPid) + "/stat");
  std::string field;
  double ticks = 0;
  // Fields 14 and 15 are user and system time; the name in field 2 has no
  // blanks.
  for (int i = 1; i <= 15 && in >> field; ++i) {
    ticks += i >= 14 ? std::atof(field.c_str()) : 0;
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/** Sends requests one after the other, to two targets in turn. */
class LatencyRun
{
public:
  LatencyRun(http::Loop& aLoop, http::Client& aClient,
             std::vector<Target> aTargets, int aCount)
    : mLoop(aLoop)
    , mClient(aClient)
    , mTargets(std::move(aTargets))
    , mSamples(mTargets.size())
    , mLeft(aCount * static_cast<int>(mTargets.size()))
  {
  }

  /** \returns the median latency of each target, in ms. */
  std::vector<double> Run()
  {
    Next();
    mLoop.Run();
    std::vector<double> medians;
    for (std::vector<double>& it : mSamples) {
      std::sort(it.begin(), it.end());
      medians.push_back(it.empty() ? 0 : it[it.size() / 2]);
    }
    return medians;
  }

private:
  void Next()
  {
    if (mLeft-- == 0) {
      mLoop.Stop();
      return;
    }
    const std::size_t i = static_cast<std::size_t>(mLeft) % mTargets.size();
    const base::TimePoint start = mLoop.Now();
    http::ClientRequest request;
    request.mEndpoint = mTargets[i].mEndpoint;
    request.mTarget = mTargets[i].mPath;
    http::Fetch(
      mLoop, mClient, request, {}, std::chrono::seconds(10),
      [this, i, start](const http::FetchResult& aResult) {
        if (aResult.IsOk()) {
          mSamples[i].push_back(
            std::chrono::duration<double, std::milli>(mLoop.Now() - start)
              .count());
        }
        Next();
      });
  }

  http::Loop& mLoop;
  http::Client& mClient;
  std::vector<Target> mTargets;
  std::vector<std::vector<double>> mSamples;
  int mLeft;
};

/** Keeps a number of requests in flight for a time. */
class ThroughputRun
{
public:
  ThroughputRun(http::Loop& aLoop, http::Client& aClient, Target aTarget)
    : mLoop(aLoop)
    , mClient(aClient)
    , mTarget(std::move(aTarget))
  {
  }

  /** \returns the number of good answers. */
  std::uint64_t Run(int aConnections, std::chrono::seconds aTime)
  {
    mEnd = mLoop.Now() + aTime;
    for (int i = 0; i < aConnections; ++i) {
      Next();
    }
    mLoop.After(aTime, [this] { mLoop.Stop(); });
    mLoop.Run();
    return mAnswers;
  }

private:
  void Next()
  {
    if (mLoop.Now() >= mEnd) {
      return;
    }
    http::ClientRequest request;
    request.mEndpoint = mTarget.mEndpoint;
    request.mTarget = mTarget.mPath;
    http::Fetch(mLoop, mClient, request, {}, std::chrono::seconds(10),
                [this](const http::FetchResult& aResult) {
                  mAnswers += aResult.IsOk() ? 1 : 0;
                  Next();
                });
  }

  http::Loop& mLoop;
  http::Client& mClient;
  Target mTarget;
  base::TimePoint mEnd;
  std::uint64_t mAnswers = 0;
};

int Usage(const cxxopts::Options& aOptions)
{
  std::cerr << aOptions.help();
  return 2;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  cxxopts::Options options("bench_http", "Measures an HTTP server.");
  options.add_options()("latency", "targets ADDRESS:PORT/PATH, in turn",
                        cxxopts::value<std::vector<std::string>>())(
    "count", "requests to each target",
    cxxopts::value<int>()->default_value("2000"))(
    "throughput", "target ADDRESS:PORT/PATH",
    cxxopts::value<std::string>())("connections", "requests in flight",
                                   cxxopts::value<int>()->default_value("32"))(
    "seconds", "length of the run", cxxopts::value<int>()->default_value("5"))(
    "pid", "process whose CPU time is taken",
    cxxopts::value<int>()->default_value("0"));
  const auto parsed = options.parse(aArgc, aArgv);
  http::Loop loop;
  http::Client client(loop);
  if (parsed.count("latency") > 0) {
    std::vector<Target> targets;
    for (const std::string& it :
         parsed["latency"].as<std::vector<std::string>>()) {
      const auto target = ParseTarget(it);
      if (!target) {
        return Usage(options);
      }
      targets.push_back(*target);
    }
    LatencyRun run(loop, client, targets, parsed["count"].as<int>());
    for (const double it : run.Run()) {
      std::cout << "p50_ms=" << it << '\n';
    }
    return 0;
  }
  const auto target = parsed.count("throughput") > 0
                        ? ParseTarget(parsed["throughput"].as<std::string>())
                        : std::nullopt;
  if (!target) {
    return Usage(options);
  }
  const int pid = parsed["pid"].as<int>();
  const int seconds = parsed["seconds"].as<int>();
  const double before = CpuSeconds(pid);
  ThroughputRun run(loop, client, *target);
  const auto answers =
    run.Run(parsed["connections"].as<int>(), std::chrono::seconds(seconds));
  std::cout << "answers=" << answers << " seconds=" << seconds
            << " cpu_s=" << CpuSeconds(pid) - before << '\n';
  return 0;
}
