#include "support/Process.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace auburnmux::process {

Process::Process(const std::vector<std::string>& aArguments,
                 std::string aOutput)
  : mOutput(std::move(aOutput))
{
  std::vector<char*> argv;
  argv.reserve(aArguments.size() + 1);
  for (const std::string& it : aArguments) {
    argv.push_back(const_cast<char*>(it.c_str()));
  }
  argv.push_back(nullptr);
  const int out =
    open(mOutput.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  mPid = fork();
  if (mPid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    // An inherited socket would keep the test's connections open.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(argv[0], argv.data());
    _exit(127);
  }
  close(out);
}

Process::~Process()
{
  Kill();
}

void Process::Signal(int aSignal)
{
  if (IsRunning()) {
    kill(mPid, aSignal);
  }
}

bool Process::IsRunning()
{
  return !ExitCode();
}

std::optional<int> Process::ExitCode()
{
  int status = 0;
  if (!mExitCode && waitpid(mPid, &status, WNOHANG) == mPid) {
    mExitCode =
      WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }
  return mExitCode;
}

void Process::Kill()
{
  if (mPid > 0 && IsRunning()) {
    kill(mPid, SIGKILL);
    int status = 0;
    waitpid(mPid, &status, 0);
    mExitCode =
      WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }
}

std::string Process::Output() const
{
  return ReadText(mOutput);
}

std::string ReadText(const std::string& aName)
{
  std::ifstream in(aName, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

void WriteText(const std::string& aName, const std::string& aText)
{
  std::ofstream(aName, std::ios::binary) << aText;
}

} // namespace auburnmux::process
