#include "http/Http.h"
#include "http/test/support/LoopbackSocket.h"

#include "base/test/support/Property.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace auburnmux;
using http::FetchResult;
using http::Loop;
using http::LoopbackSocket;
using http::ServerExchange;

namespace {

constexpr const char* kAddress = "127.0.0.1";

/** Responds with the request body or, without one, with the target. The path
 * `/chunked` gets a fixed chunked response. */
class EchoObserver final : public http::RequestObserver
{
public:
  explicit EchoObserver(std::shared_ptr<ServerExchange> aExchange)
    : mExchange(std::move(aExchange))
  {
  }
  void OnBody(std::string_view aPart) override { mBody += aPart; }
  void OnBodyEnd() override
  {
    const std::string& path = mExchange->Head().mPath;
    if (path == "/chunked") {
      mExchange->SendHead({ 200, {}, std::nullopt });
      mExchange->SendBody("one,");
      mExchange->SendBody("two");
      mExchange->Finish();
    } else {
      mExchange->Respond(200, { { "upstream-state", "leaving" } },
                         mBody.empty() ? path + '?' + mExchange->Head().mQuery
                                       : mBody);
    }
  }
  void OnClosed(bool /*aIsComplete*/) override {}

private:
  std::shared_ptr<ServerExchange> mExchange;
  std::string mBody;
};

/** Sends fixed bytes on every connection, and then closes or resets it. */
class RawServer
{
public:
  enum class Ending
  {
    Close,
    Reset
  };

  RawServer(Loop& aLoop, base::PortNumber aPort, std::string aResponse,
            Ending aEnding = Ending::Close)
    : mLoop(aLoop)
    , mResponse(std::move(aResponse))
    , mEnding(aEnding)
    , mSocket(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort.Count());
    inet_pton(AF_INET, kAddress, &address.sin_addr);
    const int on = 1;
    setsockopt(mSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    CHECK_EQUAL(
      0, bind(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof address));
    listen(mSocket, 8);
    mWatch = mLoop.Watch(mSocket, [this] { Accept(); });
  }
  ~RawServer()
  {
    mLoop.Unwatch(mWatch);
    close(mSocket);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

private:
  void Accept()
  {
    const int fd = accept(mSocket, nullptr, nullptr);
    mLoop.After(std::chrono::milliseconds(20), [this, fd] {
      char buf[4096];
      (void)!read(fd, buf, sizeof buf);
      (void)!write(fd, mResponse.data(), mResponse.size());
      const linger reset{ mEnding == Ending::Reset ? 1 : 0, 0 };
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      close(fd);
    });
  }

  Loop& mLoop;
  std::string mResponse;
  Ending mEnding;
  int mSocket;
  Loop::WatchId mWatch;
};

} // namespace

TEST_GROUP(Http)
{
  Loop mLoop;
  http::Client mClient{ mLoop };

  std::unique_ptr<http::Server> Echo(base::PortNumber aPort)
  {
    return std::make_unique<http::Server>(
      mLoop, http::Endpoint{ kAddress, aPort },
      [](const std::shared_ptr<ServerExchange>& aExchange) {
        aExchange->Observe(std::make_unique<EchoObserver>(aExchange));
      });
  }

  void RunFor(base::Duration aTime)
  {
    mLoop.After(aTime, [this] { mLoop.Stop(); });
    mLoop.Run();
  }

  FetchResult Fetch(const http::ClientRequest& aRequest,
                    const std::string& aBody = {})
  {
    FetchResult result;
    http::Fetch(mLoop, mClient, aRequest, aBody, std::chrono::seconds(10),
                [this, &result](const FetchResult& aResult) {
                  result = aResult;
                  mLoop.Stop();
                });
    mLoop.Run();
    return result;
  }

  /** Sends \a aBytes on a new connection. \returns all bytes that the server
   * sends until it closes the connection. */
  std::string Exchange(base::PortNumber aPort, const std::string& aBytes)
  {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort.Count());
    inet_pton(AF_INET, kAddress, &address.sin_addr);
    (void)connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
    (void)!write(fd, aBytes.data(), aBytes.size());
    fcntl(fd, F_SETFL, O_NONBLOCK);
    std::string received;
    const auto watch = mLoop.Watch(fd, [this, fd, &received] {
      char buf[4096];
      const ssize_t n = read(fd, buf, sizeof buf);
      if (n > 0) {
        received.append(buf, static_cast<std::size_t>(n));
      } else if (n == 0) {
        mLoop.Stop();
      }
    });
    mLoop.Run();
    mLoop.Unwatch(watch);
    close(fd);
    return received;
  }
};

// Guards against a request that gets the head or body of another one.
TEST(Http, KeepAliveExchangesStaySeparate)
{
  const base::PortNumber port(19201);
  const auto server = Echo(port);
  for (int i = 0; i < 50; ++i) {
    http::ClientRequest request{ { kAddress, port } };
    request.mTarget = "/check/" + std::to_string(i) + "?a=1&b=%20x%26y";
    const FetchResult result = Fetch(request);
    CHECK_TRUE(result.IsOk());
    const std::string expected =
      "/check/" + std::to_string(i) + "?a=1&b=%20x%26y";
    STRCMP_EQUAL(expected.c_str(), result.mBody.c_str());
    CHECK_TRUE(result.mHead.mHeaders.Find("upstream-state") == "leaving");
  }
}

TEST(Http, ConnectionOpenedInAdvanceCarriesTheNextRequest)
{
  const base::PortNumber port(19281);
  const auto server = Echo(port);
  std::optional<http::ConnectOutcome> outcome;
  CHECK_TRUE(mClient.OpenIdle({ kAddress, port }, std::chrono::seconds(1),
                              [&](http::ConnectOutcome aOutcome) {
                                outcome = aOutcome;
                                mLoop.Stop();
                              }));
  mLoop.Run();
  CHECK_TRUE(outcome == http::ConnectOutcome::Connected);
  bool isFirst = false;
  http::ClientRequest request{ { kAddress, port } };
  request.mResponseOwner = [&](const http::ResponseHead&, bool aIsFirst) {
    isFirst = aIsFirst;
    return base::ResponseOwner::Request;
  };
  CHECK_TRUE(Fetch(request).IsOk());
  CHECK_TRUE(isFirst);
  CHECK_EQUAL(1U, mClient.OpenedConnections());
}

TEST(Http, ConnectionOpenedInAdvanceIsRefused)
{
  std::optional<http::ConnectOutcome> outcome;
  CHECK_TRUE(mClient.OpenIdle({ kAddress, base::PortNumber(19282) },
                              std::chrono::seconds(1),
                              [&](http::ConnectOutcome aOutcome) {
                                outcome = aOutcome;
                                mLoop.Stop();
                              }));
  mLoop.Run();
  CHECK_TRUE(outcome == http::ConnectOutcome::Refused);
}

// Guards against taking an upstream for crashed because this host has no
// descriptors or ports left.
TEST(Http, ConnectionThatCannotBeOpenedIsNotRefusedByTheServer)
{
  http::Client client(mLoop, "192.0.2.1"); // not an address of this machine
  const http::Endpoint server{ kAddress, base::PortNumber(19283) };
  std::optional<http::Failure> failure;
  http::Fetch(mLoop, client, { server }, {}, std::chrono::seconds(10),
              [&](const FetchResult& aResult) {
                failure = aResult.mFailure;
                mLoop.Stop();
              });
  mLoop.Run();
  CHECK_TRUE(failure.has_value());
  CHECK_TRUE(failure->mKind == http::FailureKind::ConnectFailed);
  CHECK_FALSE(client.OpenIdle(server, std::chrono::seconds(1),
                              [](http::ConnectOutcome /*aOutcome*/) {}));
}

// Guards against a request that waits behind another one on its connection.
TEST(Http, ConcurrentRequestsUseConnectionsOfTheirOwn)
{
  const base::PortNumber port(19202);
  std::vector<std::shared_ptr<ServerExchange>> waiting;
  http::Server server(mLoop, { kAddress, port },
                      [&](const std::shared_ptr<ServerExchange>& aExchange) {
                        waiting.push_back(aExchange);
                        if (waiting.size() == 5) {
                          for (auto& it : waiting) {
                            it->Respond(200, {}, it->Head().mPath);
                          }
                        }
                      });
  for (int round = 0; round < 3; ++round) {
    waiting.clear();
    int done = 0;
    for (int i = 0; i < 5; ++i) {
      http::ClientRequest request{ { kAddress, port } };
      request.mTarget = "/" + std::to_string(i);
      http::Fetch(mLoop, mClient, request, {}, std::chrono::seconds(5),
                  [&, target = request.mTarget](const FetchResult& aResult) {
                    CHECK_TRUE(aResult.IsOk());
                    STRCMP_EQUAL(target.c_str(), aResult.mBody.c_str());
                    if (++done == 5) {
                      mLoop.Stop();
                    }
                  });
    }
    mLoop.Run();
    CHECK_EQUAL(5, done);
  }
}

TEST(Http, LargeBodiesArriveWhole)
{
  const base::PortNumber port(19203);
  const auto server = Echo(port);
  std::string body(2000000, 'x');
  for (std::size_t i = 0; i < body.size(); i += 7) {
    body[i] = static_cast<char>('a' + i % 26);
  }
  for (const bool isFresh : { false, true, false }) {
    http::ClientRequest request{ { kAddress, port }, "PUT", "/upload" };
    request.mNeedsFreshConnection = isFresh;
    const FetchResult result = Fetch(request, body);
    CHECK_TRUE(result.IsOk());
    CHECK_TRUE(result.mBody == body);
  }
}

// Guards against reading a request as the rest of the previous body if the
// previous response was sent before that body was complete.
TEST(Http, AnswersBeforeTheBodyKeepRequestsApart)
{
  const base::PortNumber port(19209);
  http::Server server(mLoop, { kAddress, port },
                      [](const std::shared_ptr<ServerExchange>& aExchange) {
                        aExchange->Respond(412, {}, aExchange->Head().mPath);
                      });
  for (int i = 0; i < 20; ++i) {
    const std::string target = "/" + std::to_string(i);
    const FetchResult result = Fetch({ { kAddress, port }, "PUT", target },
                                     std::string(i % 3 * 40000 + 1, 'x'));
    CHECK_FALSE(result.mFailure.has_value());
    LONGS_EQUAL(412, result.mHead.mStatus);
    STRCMP_EQUAL(target.c_str(), result.mBody.c_str());
  }
}

// Guards against pipelined requests that get mixed up or block the event loop.
TEST(Http, PipelinedRequestsAreAnsweredInOrder)
{
  const base::PortNumber port(19239);
  const auto server = Echo(port);
  const std::string response = Exchange(
    port, "PUT /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\n"
          "oneGET /b HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
  const std::size_t first = response.find("one");
  const std::size_t second = response.find("/b?");
  CHECK_TRUE(first != std::string::npos);
  CHECK_TRUE(second != std::string::npos);
  CHECK_TRUE(first < second);
}

// Guards against a connection that stays open after Abort() in the handler.
TEST(Http, AbortInTheHandlerBreaksTheConnection)
{
  const base::PortNumber port(19208);
  http::Server server(mLoop, { kAddress, port },
                      [](const std::shared_ptr<ServerExchange>& aExchange) {
                        aExchange->Abort();
                      });
  const FetchResult result = Fetch({ { kAddress, port } });
  CHECK_TRUE(result.mFailure.has_value());
  CHECK_FALSE(result.mIsTimeout);
}

// Guards against a body that loses or repeats parts when reading is paused.
TEST(Http, PausedBodiesOnOneConnectionStaySeparate)
{
  const base::PortNumber port(19205);
  http::Server server(
    mLoop, { kAddress, port },
    [this](const std::shared_ptr<ServerExchange>& aExchange) {
      aExchange->PauseReading(true);
      aExchange->Observe(std::make_unique<EchoObserver>(aExchange));
      if (aExchange->Head().mPath == "/at-once") {
        aExchange->PauseReading(false);
      } else {
        mLoop.After(std::chrono::milliseconds(5),
                    [aExchange] { aExchange->PauseReading(false); });
      }
    });
  for (std::size_t i = 1; i <= 12; ++i) {
    for (const char* target : { "/at-once", "/later" }) {
      const std::string body(i * 3700, static_cast<char>('a' + i));
      const FetchResult result =
        Fetch({ { kAddress, port }, "PUT", target }, body);
      CHECK_TRUE(result.IsOk());
      CHECK_EQUAL(body.size(), result.mBody.size());
      CHECK_TRUE(result.mBody == body);
    }
  }
}

// Guards against a body that is overwritten by the head of a request which the
// handler sends while libwebsockets still holds the body.
TEST(Http, RequestFromAHandlerLeavesTheBodyIntact)
{
  const base::PortNumber port(19206);
  const base::PortNumber nextPort(19207);
  const auto next = Echo(nextPort);
  http::Server server(
    mLoop, { kAddress, port },
    [&](const std::shared_ptr<ServerExchange>& aExchange) {
      aExchange->PauseReading(true);
      http::Fetch(mLoop, mClient, { { kAddress, nextPort }, "PUT", "/next" },
                  "next", std::chrono::seconds(5), [](const FetchResult&) {});
      aExchange->PauseReading(false);
      aExchange->Observe(std::make_unique<EchoObserver>(aExchange));
    });
  for (std::size_t i = 1; i <= 12; ++i) {
    const std::string body(i * 300, static_cast<char>('a' + i));
    const std::string head = "PUT /x HTTP/1.1\r\nhost: h\r\nconnection: "
                             "close\r\ncontent-length: " +
                             std::to_string(body.size()) + "\r\n\r\n";
    CHECK_TRUE(Fetch({ { kAddress, nextPort } }).IsOk()); // an idle connection
    const std::string response = Exchange(port, head + body);
    CHECK_TRUE(response.size() > body.size());
    CHECK_TRUE(response.substr(response.size() - body.size()) == body);
  }
}

TEST(Http, ChunkedResponseArrivesWhole)
{
  const base::PortNumber port(19204);
  const auto server = Echo(port);
  http::ClientRequest request{ { kAddress, port }, "GET", "/chunked" };
  const FetchResult result = Fetch(request);
  CHECK_TRUE(result.IsOk());
  STRCMP_EQUAL("one,two", result.mBody.c_str());
}

// Guards against reporting a partial response as complete.
TEST(Http, TruncatedResponsesAreFailures)
{
  const std::string kHead = "HTTP/1.1 200 OK\r\n";
  const std::vector<std::string> responses = {
    kHead + "content-length: 10\r\n\r\nfour",
    kHead + "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
    kHead + "transfer-encoding: chunked\r\n\r\n5\r\nhel",
    kHead + "content-length: 4\r\ncontent-length: 5\r\n\r\nfourx",
    kHead + "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour",
    "",
    "garbage\r\n\r\n"
  };
  int port = 19210;
  for (const std::string& it : responses) {
    const base::PortNumber number(static_cast<std::uint16_t>(port++));
    RawServer server(mLoop, number, it);
    const FetchResult result = Fetch({ { kAddress, number } });
    CHECK_TRUE_TEXT(result.mFailure.has_value(), it.c_str());
    CHECK_TRUE_TEXT(!result.mIsTimeout, it.c_str());
    CHECK_TRUE_TEXT(result.mFailure->mMayHaveReached, it.c_str());
  }
}

// Guards against a success with an empty or short body, framed as whole.
TEST(Http, HeadThatEndsEarlyIsAFailure)
{
  const std::string response = "HTTP/1.1 200 OK\r\nanother-test-field: s\r\n"
                               "content-length: 12\r\n\r\n";
  constexpr std::uint16_t kFirstPort = 19500;
  for (std::size_t n = 1; n < response.size(); ++n) {
    const base::PortNumber port(static_cast<std::uint16_t>(kFirstPort + n));
    RawServer server(mLoop, port, response.substr(0, n));
    const FetchResult result = Fetch({ { kAddress, port } });
    CHECK_TRUE_TEXT(result.mFailure.has_value(), response.substr(0, n).c_str());
    CHECK_TRUE(result.mFailure->mMayHaveReached);
  }
}

// Guards against rejecting a response without a length, and against reporting
// one as complete although its connection was reset.
TEST(Http, ConnectionEndsResponseWithoutLength)
{
  const std::string response = "HTTP/1.1 200 OK\r\n\r\nno length at all";
  const base::PortNumber whole(19218);
  RawServer closing(mLoop, whole, response);
  const FetchResult result = Fetch({ { kAddress, whole } });
  CHECK_FALSE(result.mFailure.has_value());
  STRCMP_EQUAL("no length at all", result.mBody.c_str());

  const base::PortNumber cut(19219);
  RawServer resetting(mLoop, cut, response, RawServer::Ending::Reset);
  CHECK_TRUE(Fetch({ { kAddress, cut } }).mFailure.has_value());
}

// Guards against taking a late response to another request for the response to
// this one.
TEST(Http, ForeignResponseIsSkipped)
{
  const base::PortNumber port(19220);
  RawServer server(mLoop, port,
                   "HTTP/1.1 200 OK\r\nid: old\r\ncontent-length: 5\r\n\r\n"
                   "stale"
                   "HTTP/1.1 200 OK\r\nid: new\r\ncontent-length: 5\r\n\r\n"
                   "fresh");
  http::ClientRequest request{ { kAddress, port } };
  request.mResponseOwner = [](const http::ResponseHead& aHead,
                              bool /*aIsFirstRequest*/) {
    return aHead.mHeaders.Find("id") == "new"
             ? base::ResponseOwner::Request
             : base::ResponseOwner::EarlierRequest;
  };
  STRCMP_EQUAL("fresh", Fetch(request).mBody.c_str());
}

// Guards against waiting for the response of a server that has sent other bytes
// in its place.
TEST(Http, ResponseToNoRequestIsAFailure)
{
  const base::PortNumber port(19225);
  RawServer server(mLoop, port,
                   "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale");
  http::ClientRequest request{ { kAddress, port } };
  request.mResponseOwner = [](const http::ResponseHead& /*aHead*/,
                              bool /*aIsFirstRequest*/) {
    return base::ResponseOwner::None;
  };
  const FetchResult result = Fetch(request);
  CHECK_FALSE(result.mIsTimeout);
  CHECK_TRUE(result.mFailure.has_value());
  CHECK_TRUE(result.mFailure->mKind == http::FailureKind::Malformed);
  CHECK_TRUE(result.mFailure->mMayHaveReached);
}

// Guards against taking a repeated response for the one to a later request.
TEST(Http, ResponsesOnReusedConnectionsAreTold)
{
  const base::PortNumber port(19224);
  const auto server = Echo(port);
  std::vector<bool> isFirst;
  http::ClientRequest request{ { kAddress, port }, "GET", "/" };
  request.mResponseOwner = [&isFirst](const http::ResponseHead& /*aHead*/,
                                      bool aIsFirstRequest) {
    isFirst.push_back(aIsFirstRequest);
    return base::ResponseOwner::Request;
  };
  CHECK_TRUE(Fetch(request).IsOk());
  CHECK_TRUE(Fetch(request).IsOk());
  CHECK_EQUAL(2U, isFirst.size());
  CHECK_TRUE(isFirst[0]);
  CHECK_FALSE(isFirst[1]);
}

// Guards against a fault that the platform's path test found: a response
// without a body was complete only when its connection closed or the caller
// timed out.
TEST(Http, EmptyResponseIsCompleteAtOnce)
{
  const base::PortNumber port(19223);
  http::Server server(mLoop, { kAddress, port },
                      [](const std::shared_ptr<ServerExchange>& aExchange) {
                        aExchange->Respond(503, { { "not-run", "1" } }, "");
                      });
  for (int i = 0; i < 3; ++i) {
    const FetchResult result = Fetch({ { kAddress, port } });
    CHECK_FALSE(result.mFailure.has_value());
    LONGS_EQUAL(503, result.mHead.mStatus);
  }
}

// Guards against chunked request bodies that are refused or incomplete.
TEST(Http, ChunkedRequestArrivesWhole)
{
  const base::PortNumber port(19221);
  const auto server = Echo(port);
  const std::string response = Exchange(
    port, "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
          "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  CHECK_TRUE(response.find("\r\n\r\nabcde") != std::string::npos);
}

// Guards against a request that doesn't end if its last chunk arrives in
// pieces.
TEST(Http, LastChunkInPiecesEndsTheRequest)
{
  const base::PortNumber port(19236);
  const auto server = Echo(port);
  const auto caller = LoopbackSocket::Connect(port);
  caller.Send("PUT /echo HTTP/1.1\r\nhost: h\r\nconnection: close\r\n"
              "transfer-encoding: chunked\r\n\r\n");
  for (const char* it : { "0\r\n", "\r", "\n" }) {
    caller.Send(it);
    RunFor(std::chrono::milliseconds(20));
  }
  STRCMP_CONTAINS("HTTP/1.1 200", caller.ReadToEnd().first.c_str());
}

// Guards against a request that is not read before more input follows, as its
// end arrives apart (third review, case 11).
TEST(Http, HeadInTwoPiecesIsRead)
{
  const base::PortNumber port(19237);
  const auto server = Echo(port);
  for (const std::string fields :
       { "", "content-length: 0\r\n", "x: 1\r\nconnection: close\r\n" }) {
    const std::string head =
      "PUT /echo HTTP/1.1\r\nhost: h\r\n" + fields + "\r\n";
    for (std::size_t n = 1; n <= 5; ++n) {
      const auto caller = LoopbackSocket::Connect(port);
      caller.Send(head.substr(0, head.size() - n));
      RunFor(std::chrono::milliseconds(20));
      caller.Send(head.substr(head.size() - n));
      RunFor(std::chrono::milliseconds(20));
      std::string received;
      caller.ReadAvailable(received);
      STRCMP_CONTAINS("HTTP/1.1 200", received.c_str());
    }
  }
}

// Guards against a response that is not complete before more input follows, as
// its end arrives apart (kin of the third review's case 11).
TEST(Http, ResponseInTwoPiecesIsComplete)
{
  const base::PortNumber port(19238);
  const auto listener = LoopbackSocket::Listen(port);
  for (const std::string head :
       { "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
         "HTTP/1.1 204 No Content\r\n\r\n" }) {
    for (std::size_t n = 1; n <= 5; ++n) {
      std::optional<FetchResult> result;
      http::ClientRequest request;
      request.mEndpoint = { kAddress, port };
      request.mNeedsFreshConnection = true;
      http::Fetch(mLoop, mClient, request, {}, std::chrono::seconds(1),
                  [&result](const FetchResult& aResult) { result = aResult; });
      const auto connection = listener.Accept();
      connection.Send(head.substr(0, head.size() - n));
      RunFor(std::chrono::milliseconds(20));
      connection.Send(head.substr(head.size() - n));
      RunFor(std::chrono::milliseconds(20));
      CHECK_TRUE(result && result->IsOk());
    }
  }
}

// Guards against end-to-end fields that are dropped in transit.
TEST(Http, UnknownFieldsAndTargetsArriveUnchanged)
{
  const base::PortNumber port(19222);
  http::RequestHead seen;
  http::Server server(
    mLoop, { kAddress, port },
    [&](const std::shared_ptr<ServerExchange>& aExchange) {
      seen = aExchange->Head();
      aExchange->Respond(200, { { "answer-field", "1" } }, "");
    });
  http::ClientRequest request{ { kAddress, port } };
  request.mTarget = "/a%2Fb//c?x=%20&&y";
  request.mHeaders = { { "host", "other.example" }, { "some-field", "v w" } };
  const FetchResult result = Fetch(request);
  STRCMP_EQUAL("/a%2Fb//c", seen.mPath.c_str());
  STRCMP_EQUAL("x=%20&&y", seen.mQuery.c_str());
  CHECK_TRUE(seen.mHeaders.Find("host") == "other.example");
  CHECK_TRUE(seen.mHeaders.Find("some-field") == "v w");
  CHECK_TRUE(result.mHead.mHeaders.Find("answer-field") == "1");
}

// Guards against reporting that a request may have reached the server although
// it was never sent, and the reverse.
TEST(Http, RefusedConnectionHasNotReachedTheServer)
{
  const FetchResult result = Fetch({ { kAddress, base::PortNumber(19229) } });
  CHECK_TRUE(result.mFailure.has_value());
  CHECK_TRUE(result.mFailure->mKind == http::FailureKind::ConnectRefused);
  CHECK_FALSE(result.mFailure->mMayHaveReached);
}

// Guards against request smuggling by contradictory or invalid lengths.
TEST(Http, ContradictoryRequestHeadsAreRefused)
{
  const base::PortNumber port(19230);
  const auto server = Echo(port);
  const std::string kPost = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const std::vector<std::pair<std::string, std::string>> cases = {
    { kPost + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", "400" },
    { kPost + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
      "400" },
    { kPost + "Content-Length: -3\r\n\r\n", "400" },
    { kPost + "Content-Length: 3x\r\n\r\nabc", "400" },
    { kPost + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
      "400" },
    { kPost + "Transfer-Encoding: gzip\r\n\r\n" + kPost + "\r\n", "400" },
    { kPost + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "501" },
    { kPost + "X: " + std::string(20000, 'x') + "\r\n\r\n", "431" },
    { "GET /x HTTP/1.1\r\n\r\n", "400" }
  };
  for (const auto& [bytes, status] : cases) {
    const std::string response = Exchange(port, bytes);
    STRCMP_EQUAL_TEXT(("HTTP/1.1 " + status).c_str(),
                      response.substr(0, 12).c_str(), bytes.c_str());
  }
}

// Guards against reusing the connection of a cancelled request, whose late
// response would be delivered to the next request.
TEST(Http, ConnectionOfCancelledExchangeIsNotReused)
{
  const base::PortNumber port(19231);
  std::vector<std::shared_ptr<ServerExchange>> waiting;
  http::Server server(mLoop, { kAddress, port },
                      [&](const std::shared_ptr<ServerExchange>& aExchange) {
                        if (aExchange->Head().mPath == "/slow") {
                          waiting.push_back(aExchange);
                        } else {
                          aExchange->Respond(200, {}, "own");
                        }
                      });
  for (int i = 0; i < 10; ++i) {
    http::ClientRequest request{ { kAddress, port }, "GET", "/slow" };
    const auto exchange = http::Fetch(
      mLoop, mClient, request, {}, std::chrono::seconds(5),
      [](const FetchResult&) { FAIL("a cancelled exchange has no event"); });
    mLoop.After(std::chrono::milliseconds(10), [&] {
      exchange->Cancel();
      for (auto& it : waiting) {
        if (!it->IsClosed() && !it->IsHeadSent()) {
          it->Respond(200, {}, "late");
        }
      }
      mLoop.Stop();
    });
    mLoop.Run();
    const FetchResult result =
      Fetch({ { kAddress, port }, "GET", "/" + std::to_string(i) });
    CHECK_TRUE(result.IsOk());
    STRCMP_EQUAL("own", result.mBody.c_str());
  }
}

namespace {

class CountingObserver final : public http::ConnectionObserver
{
public:
  bool OnOpen(int /*aDescriptor*/) override { return ++mOpen <= mLimit; }
  void OnClose(int /*aDescriptor*/) override { --mOpen; }

  int mOpen = 0;
  int mLimit = 1;
};

} // namespace

// Guards against requests that reach another server on the same port, which
// happened for every server except the first.
TEST(Http, ServersOfOnePortAnswerAtTheirOwnAddress)
{
  const base::PortNumber port(19232);
  std::vector<std::unique_ptr<http::Server>> servers;
  const auto listen = [&](const std::string& aAddress) {
    return std::make_unique<http::Server>(
      mLoop, http::Endpoint{ aAddress, port },
      [aAddress](const std::shared_ptr<ServerExchange>& aExchange) {
        aExchange->Respond(200, {}, aAddress);
      });
  };
  const std::vector<std::string> addresses = { "127.0.0.1", "127.0.0.2",
                                               "127.0.0.3" };
  servers.reserve(addresses.size());
  for (const std::string& it : addresses) {
    servers.push_back(listen(it));
  }
  for (int round = 0; round < 2; ++round) {
    for (const std::string& it : addresses) {
      STRCMP_EQUAL(it.c_str(), Fetch({ { it, port } }).mBody.c_str());
    }
    const std::string request =
      "GET / HTTP/1.1\r\nHost: 127.0.0.3\r\nConnection: close\r\n\r\n";
    CHECK_TRUE(Exchange(port, request).find("127.0.0.1") != std::string::npos);
  }
  servers[1].reset();
  CHECK_TRUE(Fetch({ { addresses[1], port } }).mFailure.has_value());
  STRCMP_EQUAL("127.0.0.3", Fetch({ { addresses[2], port } }).mBody.c_str());
  servers[1] = listen(addresses[1]);
  STRCMP_EQUAL("127.0.0.2", Fetch({ { addresses[1], port } }).mBody.c_str());
}

// Guards against a connection count that drifts from the number of open
// connections. With a connection limit, that would cause an outage.
TEST(Http, ConnectionObserverSeesEachConnectionOnce)
{
  const base::PortNumber port(19233);
  CountingObserver observer;
  {
    http::Server server(
      mLoop, { kAddress, port },
      [](const std::shared_ptr<ServerExchange>& aExchange) {
        aExchange->Respond(200, {}, "x");
      },
      &observer);
    http::ClientRequest request{ { kAddress, port } };
    for (int i = 0; i < 3; ++i) {
      CHECK_TRUE(Fetch(request).IsOk());
    }
    CHECK_EQUAL(1, observer.mOpen);
    request.mNeedsFreshConnection = true;
    CHECK_TRUE(Fetch(request).mFailure.has_value());
    CHECK_EQUAL(2, observer.mOpen); // no OnClose() for the refused connection
    observer.mOpen = 1;
    observer.mLimit = 2;
    CHECK_TRUE(Fetch(request).IsOk());
  }
  CHECK_EQUAL(0, observer.mOpen);
}

// Guards against a new connection for each request, which libwebsockets opened
// for a client that set the Host field with a port.
TEST(Http, SequentialRequestsShareOneConnection)
{
  const base::PortNumber port(19234);
  CountingObserver observer;
  observer.mLimit = 100;
  http::Server server(
    mLoop, { kAddress, port },
    [](const std::shared_ptr<ServerExchange>& aExchange) {
      aExchange->Observe(std::make_unique<EchoObserver>(aExchange));
    },
    &observer);
  for (int i = 0; i < 20; ++i) {
    const std::string body(static_cast<std::size_t>(i) * 5000, 'x');
    const FetchResult result =
      Fetch({ { kAddress, port }, "PUT", "/" + std::to_string(i) }, body);
    CHECK_TRUE(result.IsOk());
    CHECK_TRUE(i == 0 || result.mBody == body);
  }
  CHECK_EQUAL(1, observer.mOpen);
}

namespace {

class ClosedObserver final : public http::RequestObserver
{
public:
  ClosedObserver(Loop& aLoop, int& aClosed)
    : mLoop(aLoop)
    , mClosed(aClosed)
  {
  }
  void OnBody(std::string_view /*aPart*/) override {}
  void OnBodyEnd() override {}
  void OnClosed(bool aIsComplete) override
  {
    mClosed += aIsComplete ? 0 : 1;
    mLoop.Stop();
  }

private:
  Loop& mLoop;
  int& mClosed;
};

} // namespace

// Guards against work that continues, and an event loop that busy-polls, after
// the caller cancelled its request.
TEST(Http, ServerSeesThatTheCallerCancelled)
{
  const base::PortNumber port(19235);
  int closed = 0;
  std::shared_ptr<ServerExchange> waiting;
  http::Server server(mLoop, { kAddress, port },
                      [&](const std::shared_ptr<ServerExchange>& aExchange) {
                        waiting = aExchange;
                        aExchange->Observe(
                          std::make_unique<ClosedObserver>(mLoop, closed));
                        mLoop.Stop();
                      });
  for (const std::string& body : { std::string(), std::string(9, 'x') }) {
    const http::ClientRequest request{ { kAddress, port }, "PUT", "/" };
    const auto exchange =
      http::Fetch(mLoop, mClient, request, body, std::chrono::seconds(5),
                  [](const FetchResult&) {});
    mLoop.Run();
    exchange->Cancel();
    mLoop.After(std::chrono::seconds(5), [this] { mLoop.Stop(); });
    mLoop.Run();
    CHECK_TRUE(waiting->IsClosed());
  }
  CHECK_EQUAL(2, closed);
}

// A program that exits with open requests destroys its client before its event
// loop. Closing the connections must not call destroyed objects.
TEST(Http, ClientDestroyedWithARequestOpen)
{
  bool isCalled = false;
  {
    Loop loop;
    const http::Endpoint endpoint{ kAddress, base::PortNumber(19499) };
    std::shared_ptr<ServerExchange> held;
    const http::Server server(
      loop, endpoint, [&](const std::shared_ptr<ServerExchange>& aExchange) {
        held = aExchange;
      });
    auto client = std::make_unique<http::Client>(loop);
    const auto exchange =
      http::Fetch(loop, *client, { endpoint }, {}, std::chrono::seconds(10),
                  [&](const FetchResult& /*aResult*/) { isCalled = true; });
    while (!held) {
      loop.RunOnce();
    }
    client.reset();
  }
  CHECK_FALSE(isCalled);
}
