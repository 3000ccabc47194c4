#include "standins/src/Caller.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sstream>

using namespace auburnmux;
using namespace auburnmux::standins;

namespace {

cxxopts::Options DescribeFlags()
{
  cxxopts::Options options("standin-caller", "open-loop load with checks");
  const auto number = [](const char* aDefault) {
    return cxxopts::value<double>()->default_value(aDefault);
  };
  const auto text = [](const char* aDefault) {
    return cxxopts::value<std::string>()->default_value(aDefault);
  };
  auto add = options.add_options();
  add("entry", "ADDRESS:PORT[,...] of entry hosts to ask", text(""));
  add("service", "service of the short work", text("subsidy-core"));
  add("upload-service", "service of the uploads", text(""));
  add("mix", "weights of the classes", text("checks:80,once:10,uploads:10"));
  add("rate", "requests per second", number("10"));
  add("seconds", "how long to send", number("10"));
  add("linger", "seconds to wait for the last answers", number("10"));
  add("seed", "seed of the random numbers", number("1"));
  add("data-centre", "data centre of the caller", text(""));
  add("source", "address that connections come from", text(""));
  add("max-attempts", "attempts at one request", number("4"));
  for (const char* it : { "check", "once", "upload" }) {
    const std::string name = it;
    add(name + "-path", "path below the service", text(""));
    add(name + "-method", "method", text(""));
    add(name + "-bytes", "size of the request body", number("-1"));
    add(name + "-answer-bytes", "size of the answer", number("0"));
    add(name + "-deadline-ms", "deadline from the arrival", number("0"));
  }
  add("timeline", "report each second");
  add("keys", "report the outcome of each idempotency key");
  add("out", "file for the report instead of the output", text(""));
  add("help", "print this");
  return options;
}

void ReadClass(const cxxopts::ParseResult& aFlags, const std::string& aName,
               RequestClass& aClass)
{
  const auto text = [&](const char* aSuffix) {
    return aFlags[aName + aSuffix].as<std::string>();
  };
  const auto number = [&](const char* aSuffix) {
    return aFlags[aName + aSuffix].as<double>();
  };
  aClass.mPath = text("-path").empty() ? aClass.mPath : text("-path");
  aClass.mMethod = text("-method").empty() ? aClass.mMethod : text("-method");
  if (number("-bytes") >= 0) {
    aClass.mBodyBytes = static_cast<std::size_t>(number("-bytes"));
  }
  aClass.mAnswerBytes = static_cast<std::size_t>(number("-answer-bytes"));
  if (number("-deadline-ms") > 0) {
    aClass.mDeadline = Milliseconds(number("-deadline-ms"));
  }
}

/** \returns the settings; unset when a flag can't be read. */
std::optional<CallerSettings> ReadFlags(const cxxopts::ParseResult& aFlags)
{
  CallerSettings it;
  std::istringstream entries(aFlags["entry"].as<std::string>());
  for (std::string text; std::getline(entries, text, ',');) {
    const auto entry = ParseEndpoint(text);
    if (!entry) {
      return std::nullopt;
    }
    it.mEntries.push_back(*entry);
  }
  const auto service = aFlags["service"].as<std::string>();
  it.mClasses = DefaultClasses(service);
  const auto uploads = aFlags["upload-service"].as<std::string>();
  it.mClasses[0].mService = it.mClasses[1].mService = service;
  if (!uploads.empty()) {
    it.mClasses[2].mService = uploads;
  }
  ReadClass(aFlags, "check", it.mClasses[0]);
  ReadClass(aFlags, "once", it.mClasses[1]);
  ReadClass(aFlags, "upload", it.mClasses[2]);
  it.mRate = aFlags["rate"].as<double>();
  it.mTime = Milliseconds(aFlags["seconds"].as<double>() * 1000);
  it.mLinger = Milliseconds(aFlags["linger"].as<double>() * 1000);
  it.mSeed = static_cast<std::uint64_t>(aFlags["seed"].as<double>());
  it.mDataCentre = aFlags["data-centre"].as<std::string>();
  it.mSource = aFlags["source"].as<std::string>();
  it.mMaxAttempts = static_cast<int>(aFlags["max-attempts"].as<double>());
  it.mKeepsTimeline = aFlags.count("timeline") > 0;
  it.mKeepsKeys = aFlags.count("keys") > 0;
  const bool isGood = !it.mEntries.empty() && it.mRate > 0 &&
                      ApplyMix(aFlags["mix"].as<std::string>(), it.mClasses);
  return isGood ? std::optional(std::move(it)) : std::nullopt;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  // The output carries the report only.
  spdlog::set_default_logger(spdlog::stderr_logger_mt("caller"));
  cxxopts::Options options = DescribeFlags();
  try {
    const auto flags = options.parse(aArgc, aArgv);
    const auto settings = ReadFlags(flags);
    if (flags.count("help") > 0 || !settings) {
      std::cout << options.help();
      return flags.count("help") > 0 ? 0 : 2;
    }
    http::Loop loop;
    const Caller caller(loop, *settings, [&](const Json& aReport) {
      const auto name = flags["out"].as<std::string>();
      if (name.empty()) {
        std::cout << aReport.dump(2) << '\n';
      } else {
        std::ofstream(name) << aReport.dump(2) << '\n';
      }
      loop.Stop();
    });
    loop.Run();
  } catch (const std::exception& ex) {
    std::cerr << ex.what() << '\n';
    return 2;
  }
  return 0;
}
