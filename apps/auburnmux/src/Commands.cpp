#include "auburnmux/src/Commands.h"

namespace auburnmux::tool {

ExitCode RunCommand(const Options& aOptions, const Output& aOutput)
{
  if (aOptions.mCommand == Command::Check) {
    return RunCheck(aOptions, aOutput);
  }
  http::Loop loop;
  Session session(loop, aOptions);
  switch (aOptions.mCommand) {
    case Command::Publish:
      return RunPublish(aOptions, session, aOutput);
    case Command::Status:
      return RunStatus(aOptions, session, aOutput);
    case Command::Explain:
      return RunExplain(aOptions, session, aOutput);
    case Command::History:
      return RunHistory(aOptions, session, aOutput);
    case Command::Check:
      break;
  }
  return ExitCode::BadInput;
}

} // namespace auburnmux::tool
