#include "http/Http.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t kPort = 19295;
constexpr std::size_t kMegabyte = std::size_t{ 1 } << 20U;

/** Counts the body that it receives, and reads only when told to. */
class SlowObserver final : public http::ResponseObserver
{
public:
  void OnHead(const http::ResponseHead& /*aHead*/) override
  {
    mExchange->PauseReading(true);
  }
  void OnBody(std::string_view aPart) override
  {
    if (aPart.empty()) {
      return;
    }
    mReceived += aPart.size();
    mExchange->PauseReading(true);
  }
  void OnEnd() override { mIsComplete = true; }
  void OnFailure(const http::Failure& /*aFailure*/) override
  {
    mHasFailed = true;
  }

  std::shared_ptr<http::ClientExchange> mExchange;
  std::size_t mReceived = 0;
  bool mIsComplete = false;
  bool mHasFailed = false;
};

/** A request whose response is sent by the test. */
class IgnoringObserver final : public http::RequestObserver
{
public:
  void OnBody(std::string_view /*aPart*/) override {}
  void OnBodyEnd() override {}
  void OnClosed(bool /*aIsComplete*/) override {}
};

} // namespace

TEST_GROUP(HeldBytes)
{
  const std::shared_ptr<buffering::HeldBytes> mAccount =
    std::make_shared<buffering::HeldBytes>();
  http::Loop mLoop;
  std::shared_ptr<http::ServerExchange> mExchange;
  http::Server mServer{ mLoop,
                        { "127.0.0.1", base::PortNumber(kPort) },
                        [this](const auto& aExchange) {
                          mExchange = aExchange;
                          mExchange->PauseReading(true);
                          mExchange->Observe(
                            std::make_unique<IgnoringObserver>());
                        } };
  std::unique_ptr<http::Client> mClient;
  std::shared_ptr<SlowObserver> mObserver = std::make_shared<SlowObserver>();

  void setup() override
  {
    mServer.CountHeldBytes(mAccount);
    http::ClientOptions options;
    options.mAccount = mAccount;
    mClient = std::make_unique<http::Client>(mLoop, options);
  }
  void Send(std::size_t aBody)
  {
    http::ClientRequest request{ { "127.0.0.1", base::PortNumber(kPort) },
                                 "POST",
                                 "/" };
    request.mContentLength = base::ByteCount(aBody);
    mObserver->mExchange = mClient->Send(request, mObserver);
    mObserver->mExchange->SendBody(std::string(aBody, 'x'));
  }
  template<typename Condition>
  bool RunUntil(base::Duration aTime, Condition aCondition)
  {
    const base::TimePoint end = mLoop.Now() + aTime;
    const auto tick = mLoop.Every(5ms, [] {});
    while (!aCondition() && mLoop.Now() < end) {
      mLoop.RunOnce();
    }
    mLoop.Cancel(tick);
    return aCondition();
  }
  std::size_t Held(buffering::Receiver aReceiver) const
  {
    return mAccount->For(aReceiver).Count();
  }
  void BeginResponse(std::size_t aBody)
  {
    Send(0);
    CHECK_TRUE(RunUntil(2s, [this] { return mExchange != nullptr; }));
    http::ResponseHead head;
    head.mStatus = 200;
    head.mContentLength = base::ByteCount(aBody);
    mExchange->SendHead(head);
  }
};

// Guards against bytes for a server that doesn't read that are not counted, or
// that stay counted after their request has ended.
TEST(HeldBytes, CountARequestBodyUntilItsEnd)
{
  Send(32 * kMegabyte);
  CHECK_TRUE(RunUntil(2s, [this] { return mExchange != nullptr; }));
  RunUntil(100ms, [] { return false; });
  CHECK_TRUE(Held(buffering::Receiver::Upstream) > 8 * kMegabyte);
  CHECK_EQUAL(0U, Held(buffering::Receiver::Client));
  mObserver->mExchange->Cancel();
  CHECK_EQUAL(0U, Held(buffering::Receiver::Upstream));
}

// Guards against a client that reads and counts as idle, and against bytes that
// stay in memory or in the account after they were sent: each part of the
// response is queued before the one before it has been read.
TEST(HeldBytes, FollowAReaderThatIsAlwaysBehind)
{
  constexpr std::size_t kPart = kMegabyte / 4;
  constexpr std::size_t kParts = 24;
  BeginResponse(kParts * kPart);
  std::size_t most = 0;
  std::size_t sent = 0;
  while (!mObserver->mIsComplete && !mObserver->mHasFailed) {
    if (sent < kParts && mExchange->PendingBytes().Count() < kMegabyte) {
      mExchange->SendBody(std::string(kPart, 'x'));
      if (++sent == kParts) {
        mExchange->Finish();
      }
    }
    mObserver->mExchange->PauseReading(false);
    RunUntil(1ms, [] { return false; });
    most = std::max(most, Held(buffering::Receiver::Client));
    for (const http::SlowReader& it : mServer.SampleReaders()) {
      CHECK_TRUE(mLoop.Now() - it.mHeld.mLastProgress < 500ms);
    }
  }
  CHECK_EQUAL(kParts * kPart, mObserver->mReceived);
  CHECK_TRUE(most < 3 * kMegabyte);
  CHECK_EQUAL(0U, mAccount->Total().Count());
}

// Guards against idle time that is measured from before the response, and
// against a closed client that takes the part it has read for a whole.
TEST(HeldBytes, OfAnIdleReaderAreFreedWhenItIsClosed)
{
  constexpr std::size_t kBody = 32 * kMegabyte;
  BeginResponse(kBody);
  RunUntil(300ms, [] { return false; });
  CHECK_TRUE(mServer.SampleReaders().empty());
  mExchange->SendBody(std::string(kBody, 'x'));
  mExchange->Finish();
  RunUntil(100ms, [] { return false; });
  const base::TimePoint start = mLoop.Now();
  (void)mServer.SampleReaders();
  RunUntil(200ms, [] { return false; });
  const auto readers = mServer.SampleReaders();
  CHECK_EQUAL(1U, readers.size());
  CHECK_TRUE(readers[0].mHeld.mHeld.Count() > 8 * kMegabyte);
  CHECK_TRUE(readers[0].mHeld.mLastProgress >= start);
  mServer.CloseReader(readers[0]);
  CHECK_EQUAL(0U, Held(buffering::Receiver::Client));
  CHECK_TRUE(RunUntil(2s, [this] {
    mObserver->mExchange->PauseReading(false);
    return mObserver->mHasFailed;
  }));
  CHECK_TRUE(mObserver->mReceived < kBody);
}
