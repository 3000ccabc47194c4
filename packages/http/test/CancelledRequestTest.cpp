#include "http/Http.h"
#include "http/test/support/LoopbackSocket.h"

#include "base/test/support/Property.h"

#include <thread>

using namespace auburnmux;
using http::LoopbackSocket;
using namespace std::chrono_literals;

TEST_GROUP(CancelledRequest)
{
  http::Loop mLoop;
  http::Client mClient{ mLoop };

  std::shared_ptr<http::ClientExchange> Send(base::PortNumber aPort,
                                             const std::string& aBody)
  {
    const http::ClientRequest request{ { "127.0.0.1", aPort }, "PUT", "/" };
    auto exchange = http::Fetch(mLoop, mClient, request, aBody, 5s,
                                [](const http::FetchResult&) {});
    while (!exchange->MayHaveReached()) {
      mLoop.RunOnce();
    }
    return exchange;
  }
};

TEST(CancelledRequest, IsNotDeliveredLater)
{
  const base::PortNumber port(19251);
  const auto listener = LoopbackSocket::Listen(port, 2048);
  const std::string body(60000, 'x');
  const auto exchange = Send(port, body);
  const auto upstream = listener.Accept();
  CHECK_TRUE(exchange->UnacknowledgedBytes() > base::ByteCount(0));
  exchange->Cancel();
  const auto [received, isGraceful] = upstream.ReadToEnd();
  CHECK_TRUE(received.size() < body.size());
  CHECK_FALSE(isGraceful);
}

// A lost reset is not retransmitted, unlike a FIN. So a request that was fully
// acknowledged is cancelled by an ordinary close.
TEST(CancelledRequest, ClosesGracefullyOnceItArrived)
{
  const base::PortNumber port(19252);
  const auto listener = LoopbackSocket::Listen(port);
  const auto exchange = Send(port, "body");
  const auto upstream = listener.Accept();
  while (exchange->UnacknowledgedBytes() > base::ByteCount(0)) {
    std::this_thread::sleep_for(1ms);
  }
  exchange->Cancel();
  CHECK_TRUE(upstream.ReadToEnd().second);
}
