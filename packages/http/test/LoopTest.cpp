#include "http/Http.h"

#include "base/test/support/Property.h"

#include <thread>

using namespace auburnmux;
using http::Loop;
using namespace std::chrono_literals;

TEST_GROUP(Loop)
{
  Loop mLoop;
};

TEST(Loop, ReportsHowLateItsTimersRun)
{
  base::Duration late{};
  mLoop.After(1ms, [this, &late] {
    late = mLoop.Lateness();
    mLoop.Stop();
  });
  mLoop.Post([] { std::this_thread::sleep_for(40ms); });
  mLoop.Run();
  CHECK_TRUE(late >= 30ms);
}

TEST(Loop, TasksThatPostOthersDoNotStarveTimers)
{
  constexpr int kMaxTasks = 1'000'000;
  int tasks = 0;
  std::function<void()> post = [&] {
    if (++tasks < kMaxTasks) {
      mLoop.Post(post);
    }
  };
  mLoop.Post(post);
  mLoop.After(1ms, [this] { mLoop.Stop(); });
  mLoop.Run();
  CHECK_TRUE(tasks < kMaxTasks);
}
