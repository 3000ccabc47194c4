#pragma once

#include "auburnmux/src/CommandLine.h"
#include "auburnmux/src/Output.h"
#include "auburnmux/src/Session.h"

namespace auburnmux::tool {

/** Runs the command with a loop of its own. */
ExitCode RunCommand(const Options& aOptions, const Output& aOutput);

/** Reads all files and reports every finding. */
ExitCode RunCheck(const Options& aOptions, const Output& aOutput);

/** Checks, shows the difference, publishes, and waits for all hosts. */
ExitCode RunPublish(const Options& aOptions, Session& aSession,
                    const Output& aOutput);

/** Shows what each host reports. */
ExitCode RunStatus(const Options& aOptions, Session& aSession,
                   const Output& aOutput);

/** Shows how a host of a data centre decides about a request. */
ExitCode RunExplain(const Options& aOptions, Session& aSession,
                    const Output& aOutput);

/** Lists the published versions, newest first. */
ExitCode RunHistory(const Options& aOptions, Session& aSession,
                    const Output& aOutput);

} // namespace auburnmux::tool
