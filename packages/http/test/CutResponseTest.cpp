#include "http/Http.h"
#include "http/test/support/LoopbackSocket.h"

#include "base/test/support/Property.h"

#include <thread>

using namespace auburnmux;
using http::FetchResult;
using http::LoopbackSocket;
using namespace std::chrono_literals;

namespace {

const base::PortNumber kPort(19291);

/** More than the buffers of a loopback connection take. */
constexpr std::size_t kUnsentBytes = std::size_t{ 32 } << 20U;

} // namespace

TEST_GROUP(CutResponse)
{
  http::Loop mLoop;
  http::Client mClient{ mLoop };

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
