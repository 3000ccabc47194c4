#include "auburnmux/src/CommandLine.h"
#include "auburnmux/src/Commands.h"

#include <csignal>
#include <iostream>

int main(int aArgc, char** aArgv)
{
  using namespace auburnmux::tool;
  // A reader that closes the pipe early shows as a failed write instead.
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> arguments(aArgv + 1, aArgv + aArgc);
  const Output output{ std::cout, std::cerr };
  const ParsedCommandLine parsed = ParseCommandLine(arguments);
  const auto code = parsed.mOptions ? RunCommand(*parsed.mOptions, output)
                                    : PrintUsage(parsed, output);
  return static_cast<int>(code);
}
