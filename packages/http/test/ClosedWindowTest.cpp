#include "http/src/ClosedWindow.h"
#include "http/Http.h"
#include "http/test/support/LoopbackSocket.h"

#include <functional>
#include <future>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace auburnmux;
using namespace std::chrono_literals;
using http::LoopbackSocket;
using http::internal::ClosedWindow;

namespace {

const base::PortNumber kPort(19299);
constexpr int kReceiveBuffer = 16384;
constexpr std::size_t kUploadBytes = 360000;
constexpr base::Duration kTimeout = 2s;
constexpr base::Duration kCheckPeriod = 500ms;

base::TimePoint At(base::Duration aElapsed)
{
  return base::TimePoint(aElapsed);
}

} // namespace

TEST_GROUP(ClosedWindow){};

// The kernel waits longer and longer between probes, so that acknowledgements
// of a live peer may be further apart than the timeout.
TEST(ClosedWindow, PeerThatAcknowledgesProbesIsWaitedFor)
{
  ClosedWindow window(kTimeout);
  std::uint32_t probes = 0;
  base::Duration probedAt = 0s;
  base::Duration interval = 200ms;
  for (base::Duration it = 0s; it < 120s; it += kCheckPeriod) {
    while (probedAt + interval <= it) {
      probedAt += interval;
      interval *= 2;
      ++probes;
    }
    window.Update(At(it), { true, probes, it - probedAt });
    CHECK_TRUE(window.IsClosed());
    CHECK_FALSE(window.IsPeerSilent());
  }
}

TEST(ClosedWindow, PeerThatLeavesAProbeUnansweredIsSilent)
{
  ClosedWindow window(kTimeout);
  window.Update(At(10s), { true, 4, 4s });
  window.Update(At(10500ms), { true, 5, 4500ms });
  window.Update(At(12s), { true, 5, 6s });
  CHECK_FALSE(window.IsPeerSilent());
  window.Update(At(12500ms), { true, 6, 6500ms });
  CHECK_TRUE(window.IsPeerSilent());
}

TEST(ClosedWindow, LateAcknowledgementClearsAnUnansweredProbe)
{
  ClosedWindow window(kTimeout);
  window.Update(At(10s), { true, 4, 4s });
  window.Update(At(10500ms), { true, 5, 4500ms });
  window.Update(At(11s), { true, 5, 100ms });
  window.Update(At(13s), { true, 5, 2100ms });
  CHECK_FALSE(window.IsPeerSilent());
}

TEST(ClosedWindow, ThatOpensAgainClearsWhatWasUnanswered)
{
  ClosedWindow window(kTimeout);
  window.Update(At(1s), { true, 0, 1s });
  window.Update(At(1500ms), { true, 1, 1500ms });
  window.Update(At(2500ms), { false, 0, 2500ms });
  CHECK_FALSE(window.IsClosed());
  window.Update(At(3500ms), { true, 1, 3500ms });
  CHECK_FALSE(window.IsPeerSilent());
}

/** A server that reads the head of an upload and then does what a test says. */
TEST_GROUP(PausingServer)
{
  using Behaviour = std::function<void(LoopbackSocket&)>;

  /** \returns the response to an upload, and the time until it ended. */
  std::pair<http::FetchResult, base::Duration> Upload(Behaviour aServe)
  {
    const auto listener = LoopbackSocket::Listen(kPort, kReceiveBuffer);
    std::thread server([&] {
      auto connection = listener.Accept();
      aServe(connection);
      mIsOver.get_future().wait();
    });
    http::Loop loop;
    http::ClientOptions options;
    options.mUnacknowledgedTimeout = kTimeout;
    http::Client client(loop, options);
    http::ClientRequest request{ { "127.0.0.1", kPort }, "POST", "/" };
    request.mContentLength = base::ByteCount(kUploadBytes);
    const base::TimePoint start = loop.Now();
    http::FetchResult result;
    http::Fetch(loop, client, request, std::string(kUploadBytes, 'u'), 20s,
                [&](const http::FetchResult& aResult) {
                  result = aResult;
                  loop.Stop();
                });
    loop.Run();
    const base::Duration elapsed = loop.Now() - start;
    mIsOver.set_value();
    server.join();
    return { result, elapsed };
  }

  std::promise<void> mIsOver;
};

// Guards against breaking off an upload because its upstream reads nothing for
// a while (second review, case 8).
TEST(PausingServer, IsWaitedForWhileItAcknowledges)
{
  constexpr base::Duration kPause = 3 * kTimeout;
  const auto [result, elapsed] = Upload([&](LoopbackSocket& aConnection) {
    std::this_thread::sleep_for(kPause);
    aConnection.ReadExactly(kUploadBytes);
    aConnection.Send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
  });
  STRCMP_EQUAL("ok", result.mBody.c_str());
  CHECK_TRUE(elapsed >= kPause);
}

// The kernel doubles its time between probes, so that the first unanswered one
// follows within the time for which the window was closed.
TEST(PausingServer, ThatVanishesMeanwhileIsFound)
{
  constexpr base::Duration kPause = 1s;
  bool hasVanished = false;
  const auto [result, elapsed] = Upload([&](LoopbackSocket& aConnection) {
    std::this_thread::sleep_for(kPause);
    hasVanished = aConnection.Vanish();
  });
  CHECK_TRUE(hasVanished);
  CHECK_TRUE(result.mFailure.has_value());
  CHECK_TRUE(result.mFailure->mKind == http::FailureKind::Reset);
  CHECK_TRUE(elapsed < 2 * kPause + kTimeout + 2 * kCheckPeriod);
}

TEST(PausingServer, ThatVanishesWithBytesInFlightIsFound)
{
  bool hasVanished = false;
  const auto [result, elapsed] = Upload([&](LoopbackSocket& aConnection) {
    aConnection.ReadExactly(1);
    hasVanished = aConnection.Vanish();
    std::string part;
    aConnection.ReadAvailable(part); // opens the window
  });
  CHECK_TRUE(hasVanished);
  CHECK_TRUE(result.mFailure.has_value());
  CHECK_TRUE(elapsed < kTimeout + 2 * kCheckPeriod);
}
