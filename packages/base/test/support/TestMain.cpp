#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <string>
#include <sys/file.h>

namespace {

/**
 * Waits until no other copy of this program runs on the machine. Tests listen
 * on fixed ports, so that the hosts of one copy would connect to the upstreams
 * of the other. The lock lasts until the process ends.
 */
void WaitForOtherCopies(const std::filesystem::path& aProgram)
{
  const std::filesystem::path path =
    std::filesystem::temp_directory_path() /
    ("auburnmux-" + aProgram.filename().string() + ".lock");
  constexpr mode_t kForAll = 0666;
  const int fd = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kForAll);
  if (fd >= 0 && flock(fd, LOCK_EX | LOCK_NB) != 0 && errno == EWOULDBLOCK) {
    std::cerr << "waiting for another copy of this program\n";
    flock(fd, LOCK_EX);
  } else if (fd < 0) {
    std::cerr << "cannot tell whether another copy runs: " << path.string()
              << ": " << std::strerror(errno) << '\n';
  }
}

} // namespace

int main(int aArgc, char** aArgv)
{
  WaitForOtherCopies(aArgv[0]);
  // RapidCheck and protobuf keep objects for the lifetime of the process. The
  // leak detector would report these as leaks of the test that created them.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aArgc, aArgv);
}
