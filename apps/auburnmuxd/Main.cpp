#include "daemon/Daemon.h"
#include "platform/Platform.h"

#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <optional>
#include <spdlog/spdlog.h>
#include <sstream>

namespace {

constexpr int kBadUsage = 2;

std::optional<std::string> ReadFile(const std::string& aName)
{
  std::ifstream in(aName, std::ios::binary);
  std::ostringstream out;
  if (!in || !(out << in.rdbuf())) {
    return std::nullopt;
  }
  return out.str();
}

std::optional<auburnmux::config::HostSettings> LoadSettings(
  const std::string& aName)
{
  const auto text = ReadFile(aName);
  if (!text) {
    std::cerr << aName << ":1:1: the file can't be read\n";
    return std::nullopt;
  }
  auburnmux::config::ParseReport report;
  auto settings = auburnmux::config::ParseHostSettings(*text, aName, report);
  std::cerr << report.mErrors.Report() << report.mWarnings.Report();
  if (!report.IsGood()) {
    return std::nullopt;
  }
  return settings;
}

void SetLogLevel(auburnmux::config::LogLevel aLevel)
{
  using auburnmux::config::LogLevel;
  spdlog::set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l %v");
  switch (aLevel) {
    case LogLevel::Debug:
      spdlog::set_level(spdlog::level::debug);
      return;
    case LogLevel::Info:
      spdlog::set_level(spdlog::level::info);
      return;
    case LogLevel::Warning:
      spdlog::set_level(spdlog::level::warn);
      return;
  }
}

int Run(int aArgc, char** aArgv)
{
  cxxopts::Options options("auburnmuxd", "Steers requests on an entry host.");
  options.add_options()("settings", "the host's settings file",
                        cxxopts::value<std::string>())(
    "without-balancing", "round robin without limits, for measurements")(
    "without-hedging", "no hedged requests, for measurements")(
    "on-platform",
    "take the settings file from the environment, and state from the "
    "platform's store")("help", "print this text")("version",
                                                   "print the version");
  const auto parsed = options.parse(aArgc, aArgv);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  if (parsed.count("version") > 0) {
    std::cout << "auburnmuxd 0.1.0\n";
    return 0;
  }
  if (parsed.count("on-platform") > 0) {
    SetLogLevel(auburnmux::config::LogLevel::Info);
    return auburnmux::platform::RunOnPlatform();
  }
  if (parsed.count("settings") == 0 || !parsed.unmatched().empty()) {
    std::cerr << options.help();
    return kBadUsage;
  }
  const auto settings = LoadSettings(parsed["settings"].as<std::string>());
  if (!settings) {
    return kBadUsage;
  }
  SetLogLevel(settings->mLogLevel);
  auburnmux::daemon::FeatureFlags features;
  features.mBalancing = parsed.count("without-balancing") == 0;
  features.mHedging = parsed.count("without-hedging") == 0;
  auburnmux::daemon::Daemon daemon(*settings, features);
  return daemon.Run();
}

} // namespace

int main(int aArgc, char** aArgv)
{
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return Run(aArgc, aArgv);
  } catch (const cxxopts::exceptions::exception& ec) {
    std::cerr << "auburnmuxd: " << ec.what() << '\n';
    return kBadUsage;
  }
}
