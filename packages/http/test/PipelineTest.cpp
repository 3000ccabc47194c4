#include "http/Http.h"
#include "http/test/support/LoopbackSocket.h"

#include "base/test/support/Property.h"

#include <map>

using namespace auburnmux;
using http::LoopbackSocket;
using http::ServerExchange;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxWaiting = std::size_t{ 256 } << 10U;

/** A request that was passed to the handler. */
struct Request
{
  std::shared_ptr<ServerExchange> mExchange;
  std::string mBody;
  bool mIsBodyEnded = false;
  int mWritable = 0;
  /** Set once the exchange has ended. */
  std::optional<bool> mIsComplete;
};

class RequestRecorder final : public http::RequestObserver
{
public:
  explicit RequestRecorder(Request& aRequest)
    : mRequest(aRequest)
  {
  }
  void OnBody(std::string_view aPart) override { mRequest.mBody += aPart; }
  void OnBodyEnd() override { mRequest.mIsBodyEnded = true; }
  void OnWritable() override { ++mRequest.mWritable; }
  void OnClosed(bool aIsComplete) override
  {
    mRequest.mIsComplete = aIsComplete;
  }

private:
  Request& mRequest;
};

std::string Get(const std::string& aPath, const std::string& aFields = {})
{
  return "GET " + aPath + " HTTP/1.1\r\nhost: h\r\n" + aFields + "\r\n";
}

std::string Answer(const std::string& aBody, const std::string& aFields = {})
{
  return "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(aBody.size()) +
         "\r\n" + aFields + "\r\n" + aBody;
}

} // namespace

/** A client on one connection to a server that runs requests below `/early/`
 * before their turn. */
TEST_GROUP(Pipeline)
{
  http::Loop mLoop;
  base::PortNumber mPort{ 19298 };
  std::map<std::string, Request> mRequests;
  std::unique_ptr<http::Server> mServer =
    MakeServer({ [](const http::RequestHead& aHead) {
      return aHead.mPath.rfind("/early/", 0) == 0;
    } });
  std::optional<LoopbackSocket> mClient = LoopbackSocket::Connect(mPort);
  std::string mReceived;
  bool mIsOpen = true;

  std::unique_ptr<http::Server> MakeServer(http::ServerOptions aOptions)
  {
    return std::make_unique<http::Server>(
      mLoop, http::Endpoint{ "127.0.0.1", mPort },
      [this](const std::shared_ptr<ServerExchange>& aExchange) {
        Request& it = mRequests[aExchange->Head().mPath];
        it.mExchange = aExchange;
        aExchange->Observe(std::make_unique<RequestRecorder>(it));
      },
      nullptr, std::move(aOptions));
  }
  template<typename Condition>
  void WaitFor(Condition aCondition)
  {
    const base::TimePoint end = mLoop.Now() + 5s;
    const auto tick = mLoop.Every(1ms, [] {});
    while (!aCondition() && mLoop.Now() < end) {
      mLoop.RunOnce();
      mIsOpen = mIsOpen && mClient && mClient->ReadAvailable(mReceived);
    }
    mLoop.Cancel(tick);
    CHECK_TRUE(aCondition());
  }
  /** Runs the loop for long enough that what is to happen has happened. */
  void Settle()
  {
    WaitFor([&, end = mLoop.Now() + 30ms] { return mLoop.Now() >= end; });
  }
  bool Has(const std::string& aPath)
  {
    return mRequests.count(aPath) != 0;
  }
  void Send(const std::string& aBytes)
  {
    CHECK_TRUE(mClient->Send(aBytes));
    Settle();
  }
  void Respond(const std::string& aPath, const std::string& aBody)
  {
    mRequests.at(aPath).mExchange->Respond(200, {}, aBody);
    Settle();
  }
  void SetLimits(std::size_t aMaxBody, base::Duration aHeadTimeout)
  {
    http::ServerLimits limits;
    limits.mMaxBody = base::ByteCount(aMaxBody);
    limits.mHeadTimeout = aHeadTimeout;
    mServer->SetLimits(limits);
  }
  /** Answers the first two requests in reverse order, and checks that the
   * client gets them in order, followed by the refusal \a aStatus and the end
   * of the connection. */
  void CheckRefusedBehindTwo(const std::string& aStatus)
  {
    Send(Get("/early/4")); // is not read
    CHECK_EQUAL(3U, mServer->ActiveExchanges());
    Respond("/early/2", "two");
    STRCMP_EQUAL("", mReceived.c_str());
    Respond("/early/1", "one");
    const std::string good = Answer("one") + Answer("two");
    STRCMP_EQUAL(good.c_str(), mReceived.substr(0, good.size()).c_str());
    const std::string refusal = mReceived.substr(good.size());
    STRCMP_EQUAL(("HTTP/1.1 " + aStatus).c_str(),
                 refusal.substr(0, 12).c_str());
    STRCMP_CONTAINS("connection: close\r\n", refusal.c_str());
    WaitFor([&] { return !mIsOpen; });
    CHECK_EQUAL(2U, mRequests.size());
  }
};

// Guards against short requests that are late because an earlier one on their
// connection is slow, and against a response that overtakes another one.
TEST(Pipeline, RequestsBehindASlowOneRunAndAreAnsweredInOrder)
{
  Send(Get("/early/1") + Get("/early/2") + Get("/early/3"));
  CHECK_EQUAL(3U, mRequests.size());
  Respond("/early/3", "three");
  Respond("/early/2", "two");
  STRCMP_EQUAL("", mReceived.c_str());
  CHECK_TRUE(mRequests.at("/early/3").mExchange->PendingBytes() >
             mRequests.at("/early/2").mExchange->PendingBytes());
  CHECK_FALSE(mRequests.at("/early/2").mIsComplete.has_value());
  Respond("/early/1", "one");
  STRCMP_EQUAL((Answer("one") + Answer("two") + Answer("three")).c_str(),
               mReceived.c_str());
  for (const auto& [path, it] : mRequests) {
    CHECK_TRUE_TEXT(it.mIsComplete.value_or(false), path.c_str());
  }
}

// Guards against a host that runs out of memory by responses that wait for
// their turn and are missing in the account of held bytes.
TEST(Pipeline, ResponsesThatWaitForTheirTurnAreHeldBytes)
{
  const auto account = std::make_shared<buffering::HeldBytes>();
  mServer->CountHeldBytes(account);
  const std::string body(100'000, 'x');
  Send(Get("/early/1") + Get("/early/2") + Get("/early/3"));
  Respond("/early/2", body);
  CHECK_TRUE(account->Total().Count() >= body.size());
  Respond("/early/3", body);
  CHECK_TRUE(account->Total().Count() >= 2 * body.size());
  Respond("/early/1", "one");
  WaitFor([&] { return mServer->ActiveExchanges() == 0; });
  CHECK_EQUAL(0U, account->Total().Count());
  Send(Get("/early/4") + Get("/early/5"));
  Respond("/early/5", body);
  mClient->Close();
  WaitFor([&] { return mServer->ActiveExchanges() == 0; });
  mRequests.clear();
  CHECK_EQUAL(0U, account->Total().Count());
}

// Guards against upstreams that work on for a client that has gone.
TEST(Pipeline, AllRequestsEndWhenTheClientLeaves)
{
  Send(Get("/early/1") + Get("/early/2") + Get("/once/3"));
  Respond("/early/2", "two");
  mClient->Close();
  WaitFor([&] { return mServer->ActiveExchanges() == 0; });
  CHECK_FALSE(mRequests.at("/early/1").mIsComplete.value_or(true));
  CHECK_FALSE(mRequests.at("/early/2").mIsComplete.value_or(true));
  CHECK_FALSE(Has("/once/3"));
}

// Guards against requests that run although their client sends them again,
// behind a request that closes the connection.
TEST(Pipeline, NothingRunsBehindARequestThatClosesTheConnection)
{
  Send(Get("/early/1") + Get("/early/2", "connection: close\r\n") +
       Get("/early/3"));
  CHECK_FALSE(Has("/early/3"));
  Respond("/early/2", "two");
  Respond("/early/1", "one");
  STRCMP_EQUAL((Answer("one") + Answer("two", "connection: close\r\n")).c_str(),
               mReceived.c_str());
  WaitFor([&] { return !mIsOpen; });
  CHECK_FALSE(Has("/early/3"));
}

// Guards against a response that fails before its turn and takes the earlier
// ones with it, appears complete, or leaves those behind it running.
TEST(Pipeline, AbortBeforeItsTurnEndsOnlyThoseBehindIt)
{
  Send(Get("/early/1") + Get("/early/2") + Get("/early/3"));
  const auto aborted = mRequests.at("/early/2").mExchange;
  aborted->SendHead({ 200, {}, std::nullopt });
  aborted->SendBody("part");
  aborted->Abort();
  CHECK_FALSE(mRequests.at("/early/2").mIsComplete.value_or(true));
  CHECK_FALSE(mRequests.at("/early/3").mIsComplete.value_or(true));
  Send(Get("/early/4"));
  Respond("/early/1", "one");
  WaitFor([&] { return !mIsOpen; });
  STRCMP_EQUAL(Answer("one").c_str(), mReceived.c_str());
  CHECK_FALSE(Has("/early/4"));
}

// Guards against a planned stop that loses requests that were read, doesn't
// announce the end in a response that waits for its turn, or runs more.
TEST(Pipeline, PlannedStopAnswersWhatWasReadAndAnnouncesTheEndLast)
{
  Send(Get("/early/1") + Get("/early/2") + "GET /early/3 HTTP/1.1\r\n");
  Respond("/early/2", "two");
  mServer->CloseAfterResponses();
  mServer->CloseIdle();
  Send("host: h\r\n\r\n" + Get("/early/4"));
  Respond("/early/1", "one");
  STRCMP_EQUAL((Answer("one") + Answer("two", "connection: close\r\n")).c_str(),
               mReceived.c_str());
  WaitFor([&] { return !mIsOpen; });
  CHECK_EQUAL(2U, mRequests.size());
}

// Guards against a planned stop that drops a request that was read and waits.
TEST(Pipeline, PlannedStopRunsARequestThatWaitsForItsTurn)
{
  Send(Get("/early/1") + Get("/once/2") + Get("/early/3"));
  mServer->CloseAfterResponses();
  CHECK_EQUAL(2U, mServer->ActiveExchanges());
  Respond("/early/1", "one");
  Respond("/once/2", "two");
  STRCMP_EQUAL((Answer("one") + Answer("two", "connection: close\r\n")).c_str(),
               mReceived.c_str());
  CHECK_FALSE(Has("/early/3"));
}

// Guards against a client that takes all of a host with one connection.
TEST(Pipeline, AtMostEightExchangesAreOpen)
{
  std::string requests;
  for (int i = 10; i < 22; ++i) {
    requests += Get("/early/" + std::to_string(i));
  }
  Send(requests);
  CHECK_EQUAL(8U, mRequests.size());
  Respond("/early/12", "twelve");
  CHECK_EQUAL(8U, mRequests.size());
  Respond("/early/10", "ten");
  CHECK_EQUAL(9U, mRequests.size());
}

TEST(Pipeline, NothingIsReadBehindTooManyWaitingBytes)
{
  Send(Get("/early/1") + Get("/early/2"));
  Respond("/early/2", std::string(kMaxWaiting, 'x'));
  Send(Get("/early/3"));
  CHECK_FALSE(Has("/early/3"));
  Respond("/early/1", "one");
  WaitFor([&] { return Has("/early/3"); });
}

// Guards against good requests that are lost with a bad one behind them.
TEST(Pipeline, GarbageIsRefusedBehindGoodRequests)
{
  Send(Get("/early/1") + Get("/early/2") + "garbage\r\n\r\n" + Get("/early/4"));
  CheckRefusedBehindTwo("400");
}

TEST(Pipeline, OverlongHeadIsRefusedBehindGoodRequests)
{
  Send(Get("/early/1") + Get("/early/2") +
       Get("/early/3", "f: " + std::string(20000, 'x') + "\r\n"));
  CheckRefusedBehindTwo("431");
}

TEST(Pipeline, TooLargeBodyIsRefusedBehindGoodRequests)
{
  SetLimits(10, 10s);
  Send(Get("/early/1") + Get("/early/2") +
       Get("/early/3", "content-length: 11\r\n") + "eleven byte");
  CheckRefusedBehindTwo("413");
}

TEST(Pipeline, PartialHeadTimesOutBehindGoodRequests)
{
  SetLimits(10, 50ms);
  Send(Get("/early/1") + Get("/early/2") + "GET /early/3 HT");
  WaitFor([&] { return mServer->ActiveExchanges() == 3; });
  CheckRefusedBehindTwo("408");
}

// Guards against a timeout of a head that the client has sent in time, and that
// the server doesn't read because of its own bounds.
TEST(Pipeline, HeadThatIsNotReadDoesNotTimeOut)
{
  SetLimits(10, 50ms);
  Send(Get("/early/1") + Get("/early/2") + "GET /early/3 HT");
  mRequests.at("/early/2")
    .mExchange->Respond(200, {}, std::string(kMaxWaiting + 1, 'x'));
  Send("TP/1.1\r\nhost: h\r\n\r\n");
  WaitFor([&, end = mLoop.Now() + 600ms] { return mLoop.Now() >= end; });
  CHECK_EQUAL(2U, mServer->ActiveExchanges());
  Respond("/early/1", "one");
  WaitFor([&] { return Has("/early/3"); });
}

// Guards against a request that may run only once and runs although its client
// may have to send it again.
TEST(Pipeline, RequestThatMayNotRunEarlyWaitsForItsTurn)
{
  Send(Get("/early/1") +
       "POST /once/2 HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n"
       "expect: 100-continue\r\n\r\nbody" +
       Get("/early/3"));
  CHECK_EQUAL(1U, mRequests.size());
  Respond("/early/1", "one");
  STRCMP_EQUAL((Answer("one") + "HTTP/1.1 100 Continue\r\n\r\n").c_str(),
               mReceived.c_str());
  STRCMP_EQUAL("body", mRequests.at("/once/2").mBody.c_str());
  CHECK_TRUE(Has("/early/3"));
  Respond("/early/3", "three");
  Respond("/once/2", "two");
  STRCMP_EQUAL((Answer("one") + "HTTP/1.1 100 Continue\r\n\r\n" +
                Answer("two") + Answer("three"))
                 .c_str(),
               mReceived.c_str());
}

// Guards against the body of an early request that is lost, mixed with another
// request, or not paused.
TEST(Pipeline, BodyOfAnEarlyRequestArrives)
{
  Send(Get("/early/1") + "POST /early/2 HTTP/1.1\r\nhost: h\r\n"
                         "transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n");
  Request& upload = mRequests.at("/early/2");
  STRCMP_EQUAL("body", upload.mBody.c_str());
  upload.mExchange->PauseReading(true);
  Send("4\r\nmore\r\n0\r\n\r\n" + Get("/early/3"));
  STRCMP_EQUAL("body", upload.mBody.c_str());
  upload.mExchange->PauseReading(false);
  Settle();
  STRCMP_EQUAL("bodymore", upload.mBody.c_str());
  CHECK_TRUE(upload.mIsBodyEnded);
  CHECK_TRUE(Has("/early/3"));
}

// Guards against a broken body that takes the earlier requests with it.
TEST(Pipeline, MalformedBodyOfAnEarlyRequestLeavesTheOthersAnswered)
{
  Send(Get("/early/1") + "POST /early/2 HTTP/1.1\r\nhost: h\r\n"
                         "transfer-encoding: chunked\r\n\r\nno chunk\r\n");
  CHECK_FALSE(mRequests.at("/early/2").mIsComplete.value_or(true));
  Respond("/early/1", "one");
  WaitFor([&] { return !mIsOpen; });
  STRCMP_EQUAL(Answer("one").c_str(), mReceived.c_str());
}

// Guards against the rest of a body that reaches an earlier request after its
// own has ended.
TEST(Pipeline, BodyBeyondTheLimitLeavesTheOthersAnswered)
{
  SetLimits(10, 10s);
  Send(Get("/early/1") + "POST /early/2 HTTP/1.1\r\nhost: h\r\n"
                         "transfer-encoding: chunked\r\n\r\n");
  mRequests.at("/early/2").mExchange->SendHead({ 200, {}, std::nullopt });
  Send("b\r\neleven byte\r\n4\r\nmore\r\n0\r\n\r\n");
  CHECK_FALSE(mRequests.at("/early/2").mIsComplete.value_or(true));
  STRCMP_EQUAL("", mRequests.at("/early/1").mBody.c_str());
  Respond("/early/1", "one");
  WaitFor([&] { return !mIsOpen; });
  STRCMP_EQUAL(Answer("one").c_str(), mReceived.c_str());
}

// Guards against servers that have not asked for it and read ahead.
TEST(Pipeline, WithoutAPredicateRequestsRunOneByOne)
{
  mServer.reset();
  mServer = MakeServer({});
  mClient.emplace(LoopbackSocket::Connect(mPort));
  Send(Get("/early/1") + Get("/early/2"));
  CHECK_EQUAL(1U, mRequests.size());
  CHECK_EQUAL(1U, mServer->ActiveExchanges());
  Respond("/early/1", "one");
  CHECK_TRUE(Has("/early/2"));
}

// Guards against a sender that is not paused while its response waits, or not
// resumed once it had its turn.
TEST(Pipeline, LargeResponseOutOfTurnIsWritableOnceItIsSent)
{
  Send(Get("/early/1") + Get("/early/2"));
  Request& large = mRequests.at("/early/2");
  const std::string part(kMaxWaiting, 'x');
  large.mExchange->SendHead({ 200, {}, base::ByteCount(2 * part.size()) });
  large.mExchange->SendBody(part);
  Settle();
  CHECK_TRUE(large.mExchange->PendingBytes().Count() > kMaxWaiting);
  CHECK_EQUAL(0, large.mWritable);
  mRequests.at("/early/1").mExchange->Respond(200, {}, "one");
  WaitFor([&] { return large.mWritable > 0; });
  CHECK_EQUAL(0U, large.mExchange->PendingBytes().Count());
  large.mExchange->SendBody(part);
  large.mExchange->Finish();
  const std::string expected = Answer("one") + Answer(part + part);
  WaitFor([&] { return mReceived.size() >= expected.size(); });
  CHECK_TRUE(mReceived == expected);
}

// Guards against responses that are mixed up by some order of completion.
TEST(Pipeline, ClientGetsItsOwnAnswersInOrder)
{
  CHECK_PROPERTY("responses are in the order of the requests", [&] {
    mRequests.clear();
    mReceived.clear();
    mClient.emplace(LoopbackSocket::Connect(mPort));
    const auto isEarly = *rc::gen::container<std::vector<bool>>(
      *rc::gen::inRange<std::size_t>(1, 12), rc::gen::arbitrary<bool>());
    std::string expected;
    std::string sent;
    for (std::size_t i = 0; i < isEarly.size(); ++i) {
      const std::string path =
        (isEarly[i] ? "/early/" : "/once/") + std::to_string(i);
      const bool isHead = i % 4 == 3;
      sent += (isHead ? "HEAD" : "GET") + Get(path).substr(3);
      const std::string answer = Answer("answer of " + path);
      expected +=
        isHead ? answer.substr(0, answer.find("\r\n\r\n") + 4) : answer;
    }
    RC_ASSERT(mClient->Send(sent));
    std::size_t answered = 0;
    while (answered < isEarly.size()) {
      std::vector<Request*> open;
      WaitFor([&] {
        open.clear();
        for (auto& [path, it] : mRequests) {
          if (!it.mExchange->IsHeadSent()) {
            open.push_back(&it);
          }
        }
        return !open.empty();
      });
      Request& it = *open[*rc::gen::inRange<std::size_t>(0, open.size())];
      it.mExchange->Respond(200, {}, "answer of " + it.mExchange->Head().mPath);
      ++answered;
    }
    WaitFor([&] { return mReceived.size() >= expected.size(); });
    RC_ASSERT(mReceived == expected);
  });
}
