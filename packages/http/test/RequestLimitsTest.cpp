#include "http/Http.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using http::ServerExchange;
using namespace std::chrono_literals;

namespace {

const base::PortNumber kPort(19296);
constexpr std::size_t kMaxBody = 1000;

/** What the owner of a request was told. */
struct Events
{
  std::size_t mBodyBytes = 0;
  bool mIsBodyComplete = false;
  /** Set once the exchange has ended. */
  std::optional<bool> mIsComplete;
};

class RecordingObserver final : public http::RequestObserver
{
public:
  explicit RecordingObserver(std::shared_ptr<Events> aEvents)
    : mEvents(std::move(aEvents))
  {
  }
  void OnBody(std::string_view aPart) override
  {
    mEvents->mBodyBytes += aPart.size();
  }
  void OnBodyEnd() override { mEvents->mIsBodyComplete = true; }
  void OnClosed(bool aIsComplete) override
  {
    mEvents->mIsComplete = aIsComplete;
  }

private:
  std::shared_ptr<Events> mEvents;
};

/** Collects the status and the end of a response. */
class ResponseRecorder final : public http::ResponseObserver
{
public:
  void OnHead(const http::ResponseHead& aHead) override
  {
    mStatus = aHead.mStatus;
  }
  void OnBody(std::string_view /*aPart*/) override {}
  void OnEnd() override { mIsEnded = true; }
  void OnFailure(const http::Failure& /*aFailure*/) override
  {
    mIsEnded = true;
    mHasFailed = true;
  }

  int mStatus = 0;
  bool mIsEnded = false;
  bool mHasFailed = false;
};

} // namespace

TEST_GROUP(RequestLimits)
{
  http::Loop mLoop;
  http::Client mClient{ mLoop };
  std::shared_ptr<Events> mEvents = std::make_shared<Events>();
  std::shared_ptr<ServerExchange> mServed;
  std::shared_ptr<ResponseRecorder> mResponse;
  http::Server mServer{ mLoop,
                        { "127.0.0.1", kPort },
                        [this](std::shared_ptr<ServerExchange> aExchange) {
                          mServed = std::move(aExchange);
                          mServed->Observe(
                            std::make_unique<RecordingObserver>(mEvents));
                        } };

  void SetMaxBody(std::size_t aBytes)
  {
    http::ServerLimits limits;
    limits.mMaxBody = base::ByteCount(aBytes);
    mServer.SetLimits(limits);
  }
  template<typename Condition>
  void WaitFor(Condition aCondition)
  {
    const base::TimePoint end = mLoop.Now() + 5s;
    const auto tick = mLoop.Every(5ms, [] {});
    while (!aCondition() && mLoop.Now() < end) {
      mLoop.RunOnce();
    }
    mLoop.Cancel(tick);
    CHECK_TRUE(aCondition());
  }
  /** Begins an upload in chunks and waits until its first part has arrived. */
  std::shared_ptr<http::ClientExchange> BeginUpload()
  {
    http::ClientRequest request{ { "127.0.0.1", kPort }, "POST", "/" };
    request.mIsChunked = true;
    mResponse = std::make_shared<ResponseRecorder>();
    auto exchange = mClient.Send(request, mResponse);
    exchange->SendBody(std::string(kMaxBody / 2, 'x'));
    WaitFor([&] { return mEvents->mBodyBytes > 0; });
    return exchange;
  }
};

// Guards against an owner that learns only after the refusal was sent that its
// request has ended, and responds meanwhile.
TEST(RequestLimits, RequestThatIsRefusedMidwayHasEndedForItsOwner)
{
  SetMaxBody(kMaxBody);
  const auto upload = BeginUpload();
  upload->SendBody(std::string(kMaxBody, 'x'));
  WaitFor([&] { return mEvents->mIsComplete.has_value(); });
  CHECK_FALSE(*mEvents->mIsComplete);
  CHECK_TRUE(mServed->IsClosed());
  mServed->Respond(200, {}, "late"); // has no effect
  WaitFor([&] { return mResponse->mIsEnded; });
  CHECK_EQUAL(413, mResponse->mStatus);
  CHECK_TRUE(mEvents->mBodyBytes <= kMaxBody);
}

TEST(RequestLimits, LoweredOneBindsRequestsThatBeginLater)
{
  SetMaxBody(2 * kMaxBody);
  const auto upload = BeginUpload();
  SetMaxBody(10);
  upload->SendBody(std::string(kMaxBody, 'x'));
  upload->EndBody();
  WaitFor([&] { return mEvents->mIsBodyComplete; });
  CHECK_EQUAL(kMaxBody / 2 + kMaxBody, mEvents->mBodyBytes);
  mServed->Respond(200, {}, "stored");
  WaitFor([&] { return mResponse->mIsEnded; });
  CHECK_EQUAL(200, mResponse->mStatus);
  http::FetchResult result;
  http::Fetch(mLoop, mClient, { { "127.0.0.1", kPort }, "POST", "/" },
              std::string(11, 'x'), 5s, [&](const http::FetchResult& aResult) {
                result = aResult;
                mLoop.Stop();
              });
  mLoop.Run();
  CHECK_EQUAL(413, result.mHead.mStatus);
}

// Guards against parts of a body that are dropped silently because its response
// has begun and can't be replaced by a refusal.
TEST(RequestLimits, BodyBeyondThemCutsAResponseThatHasBegun)
{
  SetMaxBody(kMaxBody);
  const auto upload = BeginUpload();
  http::ResponseHead head;
  head.mStatus = 200;
  mServed->SendHead(head);
  upload->SendBody(std::string(kMaxBody, 'x'));
  WaitFor([&] { return mResponse->mIsEnded; });
  CHECK_TRUE(mResponse->mHasFailed);
  CHECK_FALSE(mEvents->mIsComplete.value_or(true));
}
