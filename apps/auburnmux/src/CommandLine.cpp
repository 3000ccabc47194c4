#include "auburnmux/src/CommandLine.h"

#include "config/src/ObjectReader.h"

#include <cxxopts.hpp>

#include <charconv>
#include <cstdlib>
#include <map>
#include <stdexcept>

namespace auburnmux::tool {

namespace {

constexpr const char* kUsage =
  "usage: auburnmux COMMAND [OPTION...]\n"
  "  check DIR...              read all files and report every finding\n"
  "  publish DIR...            put the files in force, wait for all hosts\n"
  "  status                    show what each host reports\n"
  "  explain SERVICE           show how a host decides about a request\n"
  "  history                   list the published versions\n"
  "  COMMAND --help            show the options of a command\n"
  "  --version                 show the version\n"
  "exit codes: 0 done, 1 failed, 2 bad usage or input\n";

/** A mistake of the caller, with its message. */
struct UsageError : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

http::Endpoint ParseEndpoint(const std::string& aText)
{
  const std::size_t colon = aText.find(':');
  std::uint16_t port = 0;
  if (colon != std::string::npos) {
    const char* end = aText.data() + aText.size();
    const auto [at, ec] = std::from_chars(aText.data() + colon + 1, end, port);
    port = ec == std::errc() && at == end ? port : 0;
  }
  const std::string address = aText.substr(0, colon);
  if (port == 0 || !config::IsAddress(address)) {
    throw UsageError("\"" + aText + "\" is not ADDRESS:PORT");
  }
  return { address, base::PortNumber(port) };
}

std::string DefaultPublisher()
{
  const char* user = std::getenv("USER");
  return user != nullptr && *user != '\0' ? user : "unknown";
}

void AddPlatform(cxxopts::Options& aParser)
{
  aParser.add_options()("platform", "the platform's object API",
                        cxxopts::value<std::string>(), "ADDRESS:PORT")(
    "host-port", "port of listed hosts whose address has none",
    cxxopts::value<std::uint16_t>()->default_value("8080"), "PORT");
}

void AddHosts(cxxopts::Options& aParser)
{
  aParser.add_options()("host", "ask this host instead of the listed ones",
                        cxxopts::value<std::vector<std::string>>(),
                        "ADDRESS:PORT");
}

cxxopts::Options ParserFor(Command aCommand, const std::string& aName)
{
  cxxopts::Options parser("auburnmux " + aName);
  parser.add_options()("json", "print JSON")("help", "show this help")(
    "operands", "", cxxopts::value<std::vector<std::string>>());
  parser.parse_positional({ "operands" });
  parser.positional_help("");
  if (aCommand != Command::Check) {
    AddPlatform(parser);
  }
  if (aCommand != Command::Check && aCommand != Command::History) {
    AddHosts(parser);
  }
  if (aCommand == Command::Status) {
    parser.add_options()("via", "ask this host, and those that it knows",
                         cxxopts::value<std::string>(), "ADDRESS:PORT");
  }
  if (aCommand == Command::Publish) {
    parser.add_options()("wait-s", "how long to wait until it is in force",
                         cxxopts::value<std::uint32_t>()->default_value("10"),
                         "SECONDS")(
      "by", "who publishes",
      cxxopts::value<std::string>()->default_value(DefaultPublisher()), "NAME");
  }
  if (aCommand == Command::Explain) {
    parser.add_options()("from", "data centre that the request enters",
                         cxxopts::value<std::string>(), "DATA_CENTRE")(
      "method", "method of the request",
      cxxopts::value<std::string>()->default_value("GET"),
      "METHOD")("path", "path of the request",
                cxxopts::value<std::string>()->default_value("/"), "PATH");
  }
  return parser;
}

/** Fills the options that publish, status, explain and history share. */
void ReadTargets(const cxxopts::ParseResult& aFlags, Options& aOptions)
{
  if (aOptions.mCommand != Command::History && aFlags.count("host") > 0) {
    for (const std::string& it :
         aFlags["host"].as<std::vector<std::string>>()) {
      aOptions.mHosts.push_back(ParseEndpoint(it));
    }
  }
  if (aOptions.mCommand == Command::Status && aFlags.count("via") > 0) {
    aOptions.mVia = ParseEndpoint(aFlags["via"].as<std::string>());
    aOptions.mHosts = { *aOptions.mVia };
  }
  const bool needsPlatform = aOptions.mCommand == Command::Publish ||
                             aOptions.mCommand == Command::History ||
                             aOptions.mHosts.empty();
  if (aFlags.count("platform") > 0) {
    aOptions.mPlatform = ParseEndpoint(aFlags["platform"].as<std::string>());
  } else if (needsPlatform) {
    throw UsageError("--platform ADDRESS:PORT is needed");
  }
  aOptions.mHostPort =
    base::PortNumber(aFlags["host-port"].as<std::uint16_t>());
}

void ReadExplain(const cxxopts::ParseResult& aFlags,
                 const std::vector<std::string>& aOperands, Options& aOptions)
{
  if (aOperands.size() != 1 || !config::IsName(aOperands[0])) {
    throw UsageError("explain needs the name of one service");
  }
  if (aFlags.count("from") == 0 ||
      !config::IsName(aFlags["from"].as<std::string>())) {
    throw UsageError("--from DATA_CENTRE is needed");
  }
  aOptions.mService = base::ServiceId(aOperands[0]);
  aOptions.mFrom = base::DataCentreId(aFlags["from"].as<std::string>());
  aOptions.mMethod = aFlags["method"].as<std::string>();
  aOptions.mPath = aFlags["path"].as<std::string>();
}

void ReadPublish(const cxxopts::ParseResult& aFlags, Options& aOptions)
{
  constexpr std::uint32_t kMaxWaitSeconds = 600;
  constexpr std::size_t kMaxPublisherLength = 200;
  const std::uint32_t wait = aFlags["wait-s"].as<std::uint32_t>();
  aOptions.mPublisher = aFlags["by"].as<std::string>();
  if (wait > kMaxWaitSeconds) {
    throw UsageError("--wait-s must be from 0 to 600 s");
  }
  if (aOptions.mPublisher.empty() ||
      aOptions.mPublisher.size() > kMaxPublisherLength) {
    throw UsageError("--by must be a text of 1 to 200 bytes");
  }
  aOptions.mWait = std::chrono::seconds(wait);
}

Options ReadOptions(const cxxopts::ParseResult& aFlags, Command aCommand)
{
  Options options;
  options.mCommand = aCommand;
  options.mIsJson = aFlags.count("json") > 0;
  std::vector<std::string> operands;
  if (aFlags.count("operands") > 0) {
    operands = aFlags["operands"].as<std::vector<std::string>>();
  }
  if (aCommand != Command::Check) {
    ReadTargets(aFlags, options);
  }
  if (aCommand == Command::Explain) {
    ReadExplain(aFlags, operands, options);
  } else if (aCommand == Command::Check || aCommand == Command::Publish) {
    if (operands.empty()) {
      throw UsageError("a directory is needed");
    }
    options.mDirectories = std::move(operands);
  } else if (!operands.empty()) {
    throw UsageError("unexpected \"" + operands[0] + '"');
  }
  if (aCommand == Command::Publish) {
    ReadPublish(aFlags, options);
  }
  return options;
}

ParsedCommandLine ParseCommand(Command aCommand,
                               const std::vector<std::string>& aArguments)
{
  cxxopts::Options parser = ParserFor(aCommand, aArguments[0]);
  std::vector<const char*> argv;
  argv.reserve(aArguments.size());
  for (const std::string& it : aArguments) {
    argv.push_back(it.c_str());
  }
  const auto flags = parser.parse(static_cast<int>(argv.size()), argv.data());
  if (flags.count("help") > 0) {
    return { std::nullopt, parser.help(), ExitCode::Done };
  }
  return { ReadOptions(flags, aCommand), {}, ExitCode::Done };
}

} // namespace

ParsedCommandLine ParseCommandLine(const std::vector<std::string>& aArguments)
{
  static const std::map<std::string, Command> sCommands = {
    { "check", Command::Check },     { "publish", Command::Publish },
    { "status", Command::Status },   { "explain", Command::Explain },
    { "history", Command::History },
  };
  if (aArguments.empty()) {
    return { std::nullopt, kUsage, ExitCode::BadInput };
  }
  if (aArguments[0] == "--help") {
    return { std::nullopt, kUsage, ExitCode::Done };
  }
  if (aArguments[0] == "--version") {
    return { std::nullopt, "auburnmux " AUBURNMUX_VERSION "\n",
             ExitCode::Done };
  }
  const auto command = sCommands.find(aArguments[0]);
  if (command == sCommands.end()) {
    return { std::nullopt,
             "unknown command \"" + aArguments[0] + "\"\n" + kUsage,
             ExitCode::BadInput };
  }
  try {
    return ParseCommand(command->second, aArguments);
  } catch (const std::exception& ex) {
    return { std::nullopt,
             std::string("auburnmux ") + aArguments[0] + ": " + ex.what() +
               "\n",
             ExitCode::BadInput };
  }
}

ExitCode PrintUsage(const ParsedCommandLine& aParsed, const Output& aOutput)
{
  (aParsed.mCode == ExitCode::Done ? aOutput.mOut : aOutput.mError)
    << aParsed.mText;
  return aParsed.mCode;
}

} // namespace auburnmux::tool
