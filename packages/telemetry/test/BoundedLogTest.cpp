#include "telemetry/Telemetry.h"

#include "base/test/support/Property.h"

#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace auburnmux;
using telemetry::BoundedLog;

TEST_GROUP(BoundedLog)
{
  int mPipe[2] = { -1, -1 };

  void setup() override
  {
    CHECK_EQUAL(0, pipe2(mPipe, O_NONBLOCK));
  }
  void teardown() override
  {
    close(mPipe[0]);
    close(mPipe[1]);
  }
  std::string ReadAll()
  {
    std::string text(std::size_t{ 1 } << 20U, '\0');
    const ssize_t n = read(mPipe[0], text.data(), text.size());
    text.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    return text;
  }
};

// Guards against a host that blocks on a full log pipe that nobody reads.
TEST(BoundedLog, FullPipeDropsLinesAndSaysSo)
{
  BoundedLog log(mPipe[1]);
  const std::string line(1000, 'x');
  for (int i = 0; i < 2000; ++i) {
    log.Add(line + '\n');
    log.Flush();
  }
  CHECK_TRUE(log.Dropped() > 1000);
  std::string all;
  for (int i = 0; i < 20; ++i) {
    all = ReadAll();
    log.Flush();
  }
  log.Add("last\n");
  log.Flush();
  all = ReadAll();
  CHECK_TRUE(all.find("event=log_dropped lines=") != std::string::npos);
  CHECK_TRUE(all.find("last\n") != std::string::npos);
}
