#include "http/Http.h"
#include "http/test/support/LoopbackSocket.h"

#include <future>
#include <thread>

// Last, because CppUTest defines a macro named new.
#include "base/test/support/Property.h"

using namespace auburnmux;
using http::FetchResult;
using http::LoopbackSocket;
using namespace std::chrono_literals;

namespace {

const base::PortNumber kPort(19291);

/** More than the buffers of a loopback connection take. */
constexpr std::size_t kUnsentBytes = std::size_t{ 32 } << 20U;

/** Collects a response, and reports its first part and its end. */
class PartObserver final : public http::ResponseObserver
{
public:
  PartObserver(std::function<void()> aOnPart, std::function<void()> aOnEnd)
    : mOnPart(std::move(aOnPart))
    , mOnEnd(std::move(aOnEnd))
  {
  }
  void OnHead(const http::ResponseHead& /*aHead*/) override {}
  void OnBody(std::string_view aPart) override
  {
    if (mBody.empty()) {
      mOnPart();
    }
    mBody += aPart;
  }
  void OnEnd() override { End(true); }
  void OnFailure(const http::Failure& /*aFailure*/) override { End(false); }

  std::string mBody;
  /** Set once the exchange has ended. */
  std::optional<bool> mIsComplete;

private:
  void End(bool aIsComplete)
  {
    mIsComplete = aIsComplete;
    mOnEnd();
  }

  std::function<void()> mOnPart;
  std::function<void()> mOnEnd;
};

} // namespace

TEST_GROUP(CutResponse)
{
  http::Loop mLoop;
  http::Client mClient{ mLoop };

  /** Sends an upload of which a part is still to be written to an upstream that
   * answers without a length. Once a part of the response was delivered, \a
   * aEnd ends the upstream's connection. \returns whether the response was
   * delivered as complete. */
  bool IsCompleteAfter(bool aIsChunked,
                       const std::function<void(LoopbackSocket&)>& aEnd)
  {
    const auto listener = LoopbackSocket::Listen(kPort);
    std::promise<void> delivered;
    std::thread upstream([&] {
      auto connection = listener.Accept();
      connection.Send("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart");
      delivered.get_future().wait();
      aEnd(connection);
    });
    http::ClientRequest request{ { "127.0.0.1", kPort }, "POST", "/" };
    request.mIsChunked = aIsChunked;
    if (!aIsChunked) {
      request.mContentLength = base::ByteCount(2 * kUnsentBytes);
    }
    const auto observer = std::make_shared<PartObserver>(
      [&] { delivered.set_value(); }, [this] { mLoop.Stop(); });
    const auto exchange = mClient.Send(request, observer);
    exchange->SendBody(std::string(kUnsentBytes, 'x'));
    const auto timeout = mLoop.After(5s, [this] { mLoop.Stop(); });
    mLoop.Run();
    mLoop.Cancel(timeout);
    upstream.join();
    STRCMP_EQUAL("part", observer->mBody.c_str());
    CHECK_TRUE(observer->mIsComplete.has_value());
    return *observer->mIsComplete;
  }
  /** Sends a request to an upstream that answers without a length, before it
   * has read the request's body, and then resets the connection. */
  FetchResult FetchReset(std::size_t aBodyBytes)
  {
    const auto listener = LoopbackSocket::Listen(kPort);
    std::thread upstream([&listener] {
      auto connection = listener.Accept();
      connection.Send("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart");
      std::this_thread::sleep_for(50ms);
      connection.Reset();
    });
    FetchResult result;
    http::Fetch(mLoop, mClient, { { "127.0.0.1", kPort }, "POST", "/" },
                std::string(aBodyBytes, 'x'), 5s,
                [this, &result](const FetchResult& aResult) {
                  result = aResult;
                  mLoop.Stop();
                });
    mLoop.Run();
    upstream.join();
    return result;
  }
};

TEST(CutResponse, WithoutALengthIsNotComplete)
{
  const FetchResult result = FetchReset(0);
  CHECK_TRUE(result.mFailure.has_value());
}

// Guards against a part of a response that passes for the whole one because the
// reset is met by a write first, which clears the socket's error (review, case
// 2).
TEST(CutResponse, WithoutALengthIsNotCompleteWhileTheRequestIsSent)
{
  const FetchResult result = FetchReset(kUnsentBytes);
  CHECK_TRUE(result.mFailure.has_value());
}

// Guards against a response whose part was delivered and which then passes for
// complete, because the reset is met by a write of the upload.
TEST(CutResponse, ResetDuringAnUploadAfterAPartIsNotComplete)
{
  for (const bool isChunked : { false, true }) {
    CHECK_FALSE(
      IsCompleteAfter(isChunked, [](LoopbackSocket& aIt) { aIt.Reset(); }));
  }
}

// Guards against an upstream that ends while it has no unread bytes: its kernel
// closes in order first, and resets only when more of the upload arrives.
TEST(CutResponse, ClosedInOrderDuringAnUploadIsNotComplete)
{
  for (const bool isChunked : { false, true }) {
    CHECK_FALSE(IsCompleteAfter(isChunked, [](LoopbackSocket& aIt) {
      aIt.ShutdownSending();
      std::this_thread::sleep_for(50ms);
      aIt.Reset();
    }));
  }
}
