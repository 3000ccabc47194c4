#pragma once

#include "auburnmux/src/Output.h"
#include "base/Base.h"
#include "http/Http.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburnmux::tool {

enum class Command : std::uint8_t
{
  Check,
  Publish,
  Status,
  Explain,
  History
};

/** One call of the tool. */
struct Options
{
  Command mCommand = Command::Check;
  bool mIsJson = false;
  /** Directories of check and publish. */
  std::vector<std::string> mDirectories;
  http::Endpoint mPlatform;
  /** Hosts to ask; when empty, those of the platform's list. */
  std::vector<http::Endpoint> mHosts;
  /** Host that is asked which others there are; they listen on its port. */
  std::optional<http::Endpoint> mVia;
  /** Port of listed hosts whose address has none. */
  base::PortNumber mHostPort{ 8080 };
  /** How long publish waits until every host has the version. */
  std::chrono::seconds mWait{ 10 };
  /** Who publishes, for the history. */
  std::string mPublisher;
  base::ServiceId mService;
  base::DataCentreId mFrom;
  std::string mMethod;
  std::string mPath;
};

/** The options, or what to print instead of running a command. */
struct ParsedCommandLine
{
  std::optional<Options> mOptions;
  std::string mText;
  ExitCode mCode = ExitCode::Done;
};

/** Parses the arguments after the program's name. Never throws. */
ParsedCommandLine ParseCommandLine(const std::vector<std::string>& aArguments);

/** Prints the help, version or usage error. \returns its exit code. */
ExitCode PrintUsage(const ParsedCommandLine& aParsed, const Output& aOutput);

} // namespace auburnmux::tool
