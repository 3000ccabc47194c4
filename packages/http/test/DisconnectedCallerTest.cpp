#include "http/Http.h"
#include "http/test/support/LoopbackSocket.h"

#include "base/test/support/Property.h"

#include <list>
#include <thread>

using namespace auburnmux;
using http::Loop;
using http::LoopbackSocket;
using http::ServerExchange;
using namespace std::chrono_literals;

namespace {

constexpr const char* kGet = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";

/** Longer than the event loop serves sockets without polling for hang-ups. */
constexpr auto kLoopStall = 40ms;

http::Endpoint At(base::PortNumber aPort)
{
  return { "127.0.0.1", aPort };
}

class ClosedObserver final : public http::RequestObserver
{
public:
  explicit ClosedObserver(std::function<void()> aOnClosed)
    : mOnClosed(std::move(aOnClosed))
  {
  }
  void OnBody(std::string_view /*aPart*/) override {}
  void OnBodyEnd() override {}
  void OnClosed(bool /*aIsComplete*/) override { mOnClosed(); }

private:
  std::function<void()> mOnClosed;
};

} // namespace

TEST_GROUP(DisconnectedCaller)
{
  Loop mLoop;
};

// Guards against serving queued requests of callers that disconnected while the
// event loop was blocked.
TEST(DisconnectedCaller,
     RequestsOfCallersThatDisconnectedDuringAStallAreNotServed)
{
  const base::PortNumber port(19253);
  std::list<LoopbackSocket> callers;
  int served = 0;
  const http::Server server(
    mLoop, At(port), [&](const std::shared_ptr<ServerExchange>& aExchange) {
      if (++served == 1) {
        std::this_thread::sleep_for(kLoopStall);
        callers.clear();
      }
      aExchange->Respond(200, {}, "");
    });
  for (int i = 0; i < 20; ++i) {
    callers.push_back(LoopbackSocket::Connect(port));
    callers.back().Send(kGet);
  }
  while (served == 0) {
    mLoop.RunOnce();
  }
  mLoop.After(kLoopStall, [this] { mLoop.Stop(); });
  mLoop.Run();
  CHECK_EQUAL(1, served);
}

// Guards against an overdue timer that acts on a connection whose hang-up has
// not been processed yet.
TEST(DisconnectedCaller, LateTimersSeeThatTheCallerDisconnected)
{
  const base::PortNumber port(19254);
  bool isClosed = false;
  bool wasClosedBeforeTimer = false;
  const http::Server server(
    mLoop, At(port), [&](const std::shared_ptr<ServerExchange>& aExchange) {
      aExchange->Observe(
        std::make_unique<ClosedObserver>([&] { isClosed = true; }));
      mLoop.Stop();
    });
  auto caller = LoopbackSocket::Connect(port);
  caller.Send(kGet);
  mLoop.Run();
  mLoop.After(5ms, [&] {
    wasClosedBeforeTimer = isClosed;
    mLoop.Stop();
  });
  mLoop.Post([&] {
    std::this_thread::sleep_for(kLoopStall);
    caller.Close();
  });
  mLoop.Run();
  CHECK_TRUE(wasClosedBeforeTimer);
}
