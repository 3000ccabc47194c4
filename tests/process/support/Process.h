#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace auburnmux::process {

/**
 * A child process whose output goes to a file. It is killed by its own pid
 * when this object ends, and by the kernel when the test program dies.
 */
class Process
{
public:
  Process(const std::vector<std::string>& aArguments, std::string aOutput);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /** Sends \a aSignal unless the process has ended. */
  void Signal(int aSignal);
  /** \returns whether the process has not ended yet. */
  bool IsRunning();
  /** \returns the exit code; 128 + signal if killed; unset while it runs. */
  std::optional<int> ExitCode();
  /** Kills the process and waits for its end. */
  void Kill();
  /** \returns what the process has printed so far. */
  std::string Output() const;

private:
  pid_t mPid = -1;
  std::optional<int> mExitCode;
  std::string mOutput;
};

/** \returns the content of the file \a aName; empty when there is none. */
std::string ReadText(const std::string& aName);
void WriteText(const std::string& aName, const std::string& aText);

} // namespace auburnmux::process
