#include "soak/src/Soak.h"

#include <cstdlib>
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>

using namespace auburnmux;

namespace {

constexpr int kBadUsage = 2;

/** Plays one seed. \returns whether nothing was breached */
bool Play(const soak::SoakSettings& aSettings)
{
  std::filesystem::create_directories(aSettings.mDirectory);
  soak::Soak soak(aSettings);
  const bool isKept = soak.Run();
  const soak::Ledger& ledger = soak.Result();
  std::cout << "seed=" << aSettings.mSeed
            << " faults=" << soak.Schedule().size()
            << " answers=" << ledger.Answers()
            << " successes=" << ledger.Successes()
            << " breaches=" << ledger.Breaches().size() << '\n';
  for (const std::string& it : ledger.Breaches()) {
    std::cout << it << '\n';
  }
  if (!isKept) {
    std::cout << "logs=" << aSettings.mDirectory << " schedule:\n"
              << soak::Describe(soak.Schedule());
  }
  std::cout.flush();
  return isKept;
}

int Run(int aArgc, char** aArgv)
{
  cxxopts::Options options(
    "auburnmux-soak",
    "Runs hosts as processes on loopback while things fail around them");
  options.add_options()("seed", "first seed",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
    "seeds", "seeds to play, one after the other",
    cxxopts::value<std::uint64_t>()->default_value("1"))(
    "seconds", "length of a run", cxxopts::value<int>()->default_value("40"))(
    "hosts", "hosts", cxxopts::value<std::size_t>()->default_value("4"))(
    "network",
    "second number of the loopback addresses, for runs beside others",
    cxxopts::value<int>()->default_value("78"))(
    "untimed", "don't check bounds in time, for busy machines")(
    "directory", "where settings and logs go",
    cxxopts::value<std::string>()->default_value("/tmp/auburnmux-soak"))(
    "help", "this text");
  const cxxopts::ParseResult flags = options.parse(aArgc, aArgv);
  if (flags.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  soak::SoakSettings settings;
  settings.mLength = std::chrono::seconds(flags["seconds"].as<int>());
  settings.mHosts = flags["hosts"].as<std::size_t>();
  settings.mNetwork = flags["network"].as<int>();
  settings.mChecksTime = flags.count("untimed") == 0;
  std::uint64_t failed = 0;
  for (std::uint64_t i = 0; i < flags["seeds"].as<std::uint64_t>(); ++i) {
    settings.mSeed = flags["seed"].as<std::uint64_t>() + i;
    settings.mDirectory = flags["directory"].as<std::string>() + '/' +
                          std::to_string(settings.mSeed);
    failed += Play(settings) ? 0 : 1;
  }
  std::cout << "failed seeds: " << failed << '\n';
  return failed == 0 ? 0 : 1;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  try {
    return Run(aArgc, aArgv);
  } catch (const std::exception& aError) {
    std::cerr << "auburnmux-soak: " << aError.what() << '\n';
    return kBadUsage;
  }
}
