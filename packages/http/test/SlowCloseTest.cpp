#include "http/Http.h"
#include "http/test/support/LoopbackSocket.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using http::LoopbackSocket;
using http::ServerExchange;
using namespace std::chrono_literals;

namespace {

constexpr base::PortNumber kPort{ 19298 };
constexpr std::size_t kBodyBytes = 60'000;
constexpr const char* kRequest = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";

} // namespace

/** A server whose responses are sent by the tests, and a client that reads them
 * slowly: 2 KB each 100 ms, about 3 s for one. */
TEST_GROUP(SlowClose)
{
  http::Loop mLoop;
  std::vector<std::shared_ptr<ServerExchange>> mExchanges;
  std::unique_ptr<http::Server> mServer = std::make_unique<http::Server>(
    mLoop, http::Endpoint{ "127.0.0.1", kPort },
    [this](const std::shared_ptr<ServerExchange>& aExchange) {
      mExchanges.push_back(aExchange);
    });
  LoopbackSocket mClient = LoopbackSocket::Connect(kPort, 4096);
  std::string mReceived;
  bool mIsOpen = true;

  void RunFor(base::Duration aTime)
  {
    mLoop.After(aTime, [this] { mLoop.Stop(); });
    mLoop.Run();
  }
  void Send(const std::string& aBytes)
  {
    CHECK_TRUE(mClient.Send(aBytes));
    RunFor(20ms);
  }
  void Respond()
  {
    mExchanges.back()->Respond(200, {}, std::string(kBodyBytes, 'x'));
    RunFor(20ms);
  }
  /** Reads slowly until the connection ends, for \a aTime at most. */
  void ReadSlowly(base::Duration aTime)
  {
    for (const base::TimePoint end = mLoop.Now() + aTime;
         mIsOpen && mLoop.Now() < end;) {
      RunFor(100ms);
      mIsOpen = mClient.ReadSome(mReceived, 2048);
    }
  }
  void CheckResponseIsWhole()
  {
    const std::size_t n = mReceived.find("\r\n\r\n");
    CHECK_TRUE(n != std::string::npos);
    CHECK_EQUAL(kBodyBytes, mReceived.size() - n - 4);
  }
};

// Guards against a planned stop that cuts the response to a client that reads
// slowly and has sent more than the server reads (third review, case 13).
TEST(SlowClose, ResponseBeforeAnUnreadRequestIsDelivered)
{
  Send(kRequest);
  mServer->CloseAfterResponses();
  Send(kRequest);
  Respond();
  ReadSlowly(8s);
  CheckResponseIsWhole();
  CHECK_EQUAL(1U, mExchanges.size());
}

TEST(SlowClose, ResponseBeforeAnUnreadPartOfAHeadIsDelivered)
{
  Send(kRequest);
  mServer->CloseAfterResponses();
  Send("GET /half HTTP/1.1\r\nho");
  Respond();
  ReadSlowly(8s);
  CheckResponseIsWhole();
}

// The same at the close of a connection that the server takes for idle.
TEST(SlowClose, ResponseOnAnIdleConnectionIsDelivered)
{
  Send(kRequest);
  Respond();
  mServer->CloseIdle();
  Send(kRequest);
  ReadSlowly(8s);
  CheckResponseIsWhole();
}

// The same for a client that closes its sending side and goes on reading.
TEST(SlowClose, ResponseToAHalfClosedClientIsDelivered)
{
  Send(kRequest);
  mServer->CloseAfterResponses();
  Send(kRequest);
  Respond();
  mClient.ShutdownSending();
  ReadSlowly(8s);
  CheckResponseIsWhole();
}

// Guards against a cut response that takes the complete one before it along.
TEST(SlowClose, ResponseBeforeACutOneIsDelivered)
{
  Send(kRequest);
  Respond();
  Send(kRequest);
  Send(kRequest);
  mExchanges.back()->SendHead({ 200, {}, base::ByteCount(5) });
  mExchanges.back()->SendBody("123");
  RunFor(20ms);
  mExchanges.back()->Abort();
  ReadSlowly(8s);
  CHECK_FALSE(mIsOpen);
  const std::size_t n = mReceived.find("\r\n\r\n") + 4 + kBodyBytes;
  CHECK_TRUE(mReceived.size() > n);
  STRCMP_CONTAINS("content-length: 5", mReceived.substr(n).c_str());
  STRCMP_CONTAINS("\r\n\r\n123", mReceived.substr(n).c_str());
}

// Guards against a process whose exit discards what the kernel would deliver.
TEST(SlowClose, ResponseIsDeliveredAfterTheExit)
{
  for (const std::string unread : { kRequest, "GET /half HTTP/1.1\r\nho" }) {
    mReceived.clear();
    mIsOpen = true;
    mServer.reset();
    mServer = std::make_unique<http::Server>(
      mLoop, http::Endpoint{ "127.0.0.1", kPort },
      [this](const std::shared_ptr<ServerExchange>& aExchange) {
        mExchanges.push_back(aExchange);
      });
    const LoopbackSocket client = LoopbackSocket::Connect(kPort, 4096);
    client.Send(kRequest);
    RunFor(20ms);
    mServer->CloseAfterResponses();
    client.Send(unread);
    RunFor(20ms);
    Respond();
    CHECK_EQUAL(0U, mServer->ActiveExchanges());
    mServer.reset();
    const auto [received, isGraceful] = client.ReadToEnd();
    mReceived = received;
    CheckResponseIsWhole();
    CHECK_TRUE(isGraceful);
  }
}

// Guards against connections that stay open for a client that reads nothing.
TEST(SlowClose, EndsForAClientThatReadsNothing)
{
  http::ServerLimits limits;
  limits.mIdleTimeout = 1s;
  mServer->SetLimits(limits);
  Send(kRequest);
  mServer->CloseAfterResponses();
  Send(kRequest);
  Respond();
  RunFor(2s);
  CHECK_TRUE(mClient.IsReset());
}
