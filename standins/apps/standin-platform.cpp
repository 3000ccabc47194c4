#include "standins/src/Platform.h"

#include <cxxopts.hpp>
#include <iostream>

using namespace auburnmux;

int main(int aArgc, char** aArgv)
{
  cxxopts::Options options("standin-platform",
                           "object API and host list of the platform");
  options.add_options()(
    "listen", "ADDRESS:PORT",
    cxxopts::value<std::string>()->default_value("127.0.0.1:19600"))(
    "list-lag-ms", "until a host that announced itself is listed",
    cxxopts::value<double>()->default_value("1000"))(
    "drop-lag-ms", "until a host that stopped announcing itself is dropped",
    cxxopts::value<double>()->default_value("30000"))("help", "print this");
  try {
    const auto flags = options.parse(aArgc, aArgv);
    const auto listen =
      standins::ParseEndpoint(flags["listen"].as<std::string>());
    if (flags.count("help") > 0 || !listen) {
      std::cout << options.help();
      return flags.count("help") > 0 ? 0 : 2;
    }
    standins::PlatformSettings settings{ *listen };
    settings.mLags.mListing =
      standins::Milliseconds(flags["list-lag-ms"].as<double>());
    settings.mLags.mDropping =
      standins::Milliseconds(flags["drop-lag-ms"].as<double>());
    http::Loop loop;
    const standins::Platform platform(loop, settings);
    if (!platform.IsListening()) {
      std::cerr << "can't listen on " << flags["listen"].as<std::string>()
                << '\n';
      return 1;
    }
    loop.Run();
  } catch (const std::exception& ex) {
    std::cerr << ex.what() << '\n';
    return 2;
  }
  return 0;
}
