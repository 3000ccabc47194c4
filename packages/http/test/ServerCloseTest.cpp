#include "http/Http.h"
#include "http/test/support/LoopbackSocket.h"

#include "base/test/support/Property.h"

#include <atomic>
#include <thread>

using namespace auburnmux;
using http::LoopbackSocket;
using http::ServerExchange;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kBodyBytes = std::size_t{ 8 } << 20U;

std::string UploadHead(std::size_t aBodyBytes)
{
  return "POST /upload HTTP/1.1\r\nhost: h\r\ncontent-length: " +
         std::to_string(aBodyBytes) + "\r\n\r\n";
}

} // namespace

/** A server that rejects uploads at their head and answers other requests. */
TEST_GROUP(ServerClose)
{
  http::Loop mLoop;
  base::PortNumber mPort{ 19297 };
  int mRequests = 0;
  http::Server mServer{
    mLoop,
    { "127.0.0.1", mPort },
    [this](const std::shared_ptr<ServerExchange>& aExchange) {
      ++mRequests;
      aExchange->Respond(aExchange->Head().mMethod == "POST" ? 503 : 200, {},
                         "");
    }
  };
  LoopbackSocket mClient = LoopbackSocket::Connect(mPort);
  std::string mReceived;

  template<typename Condition>
  void WaitFor(Condition aCondition)
  {
    const base::TimePoint end = mLoop.Now() + 5s;
    const auto tick = mLoop.Every(1ms, [] {});
    while (!aCondition() && mLoop.Now() < end) {
      mLoop.RunOnce();
    }
    mLoop.Cancel(tick);
    CHECK_TRUE(aCondition());
  }
  void RunFor(base::Duration aTime)
  {
    WaitFor([&, end = mLoop.Now() + aTime] { return mLoop.Now() >= end; });
  }
  bool IsOpen()
  {
    return mClient.ReadAvailable(mReceived);
  }
};

// Guards against a host that fills its link with the bodies of requests that it
// has refused, so that responses are late (the day of review, case 7).
TEST(ServerClose, BodyOfARejectedRequestIsNotReadAtOnce)
{
  mServer.CloseAfterResponses();
  mClient.SetSendBuffer(8192);
  CHECK_TRUE(mClient.Send(UploadHead(kBodyBytes)));
  const std::string part(65536, 'x');
  std::size_t sent = 0;
  WaitFor([&, end = mLoop.Now() + 300ms] {
    sent += mClient.SendAvailable(part);
    return mLoop.Now() >= end;
  });
  CHECK_TRUE(sent < kBodyBytes / 8);
  mClient.ReadAvailable(mReceived);
  STRCMP_CONTAINS("HTTP/1.1 503", mReceived.c_str());
  STRCMP_CONTAINS("connection: close", mReceived.c_str());
}

// A client that writes its whole body before it reads must not lose the
// response by a reset.
TEST(ServerClose, ClientThatWritesFirstGetsTheRejection)
{
  mServer.CloseAfterResponses();
  std::pair<std::string, bool> received;
  std::atomic<bool> isDone{ false };
  std::thread client([&] {
    mClient.Send(UploadHead(200'000) + std::string(200'000, 'x'));
    mClient.ShutdownSending();
    received = mClient.ReadToEnd();
    isDone = true;
  });
  WaitFor([&] { return isDone.load(); });
  client.join();
  STRCMP_CONTAINS("HTTP/1.1 503", received.first.c_str());
  CHECK_TRUE(received.second);
}

TEST(ServerClose, ClientThatWritesATooLargeBodyFirstIsTold)
{
  http::ServerLimits limits;
  limits.mMaxBody = base::ByteCount(10);
  mServer.SetLimits(limits);
  std::pair<std::string, bool> received;
  std::atomic<bool> isDone{ false };
  std::thread client([&] {
    mClient.Send(UploadHead(kBodyBytes) + std::string(kBodyBytes, 'x'));
    mClient.ShutdownSending();
    received = mClient.ReadToEnd();
    isDone = true;
  });
  WaitFor([&] { return isDone.load(); });
  client.join();
  STRCMP_CONTAINS("HTTP/1.1 413", received.first.c_str());
  CHECK_TRUE(received.second);
}

// Guards against reading and dropping a request that crosses the close of an
// idle connection: its client could not tell that it has not run.
TEST(ServerClose, RequestThatCrossesItStaysUnread)
{
  RunFor(20ms);
  mServer.CloseIdle();
  RunFor(20ms);
  CHECK_FALSE(IsOpen());
  CHECK_TRUE(mClient.Send("GET / HTTP/1.1\r\nhost: h\r\n\r\n"));
  bool isReset = false;
  WaitFor([&] { return isReset = isReset || mClient.IsReset(); });
  CHECK_EQUAL(0, mRequests);
}

// Guards against closing a connection as idle whose request has arrived.
TEST(ServerClose, RequestThatHasArrivedIsAnswered)
{
  RunFor(20ms);
  CHECK_TRUE(mClient.Send("GET / HTTP/1.1\r\nhost: h\r\n\r\n"));
  std::this_thread::sleep_for(20ms);
  mServer.CloseIdle();
  CHECK_EQUAL(1, mRequests);
  RunFor(20ms);
  mClient.ReadAvailable(mReceived);
  STRCMP_CONTAINS("HTTP/1.1 200", mReceived.c_str());
}

// Guards against an exit while a response is still on its way.
TEST(ServerClose, UndeliveredBytesAreTold)
{
  CHECK_TRUE(mServer.UnacknowledgedBytes() == base::ByteCount(0));
  http::Server server(mLoop, { "127.0.0.1", base::PortNumber(19296) },
                      [&](const std::shared_ptr<ServerExchange>& aExchange) {
                        aExchange->Respond(200, {},
                                           std::string(kBodyBytes, 'x'));
                      });
  const LoopbackSocket client =
    LoopbackSocket::Connect(base::PortNumber(19296));
  CHECK_TRUE(client.Send("GET / HTTP/1.1\r\nhost: h\r\n\r\n"));
  RunFor(50ms);
  CHECK_TRUE(server.UnacknowledgedBytes() > base::ByteCount(0));
  WaitFor([&] {
    client.ReadAvailable(mReceived);
    return mReceived.size() > kBodyBytes;
  });
  RunFor(20ms);
  CHECK_TRUE(server.UnacknowledgedBytes() == base::ByteCount(0));
}
