#include "http/Http.h"
#include "http/test/support/LoopbackSocket.h"

#include "base/test/support/Property.h"

#include <thread>

using namespace auburnmux;
using http::FetchResult;
using http::LoopbackSocket;
using namespace std::chrono_literals;

namespace {

const base::PortNumber kPort(19297);
constexpr auto kTimeout = 500ms;

} // namespace

TEST_GROUP(InvalidStatus)
{
  http::Loop mLoop;
  http::Client mClient{ mLoop };

  /** Sends a request to an upstream that responds with \a aResponse and keeps
   * the connection open. */
  FetchResult FetchFrom(const std::string& aResponse)
  {
    const auto listener = LoopbackSocket::Listen(kPort);
    std::thread upstream([&] {
      const auto connection = listener.Accept();
      connection.Send(aResponse);
      connection.ReadToEnd();
    });
    FetchResult result;
    http::Fetch(mLoop, mClient, { { "127.0.0.1", kPort }, "POST", "/" }, "x",
                kTimeout, [this, &result](const FetchResult& aResult) {
                  result = aResult;
                  mLoop.Stop();
                });
    mLoop.Run();
    mClient.CloseIdle({ "127.0.0.1", kPort });
    upstream.join();
    return result;
  }
};

// Guards against a status that is taken for an interim response and skipped, so
// that the request waits until its time limit, and against one that is relayed.
TEST(InvalidStatus, FailsTheRequestAtOnceAsMayHaveRun)
{
  for (const char* status : { "000", "001", "099", "600", "999" }) {
    const FetchResult result =
      FetchFrom(std::string("HTTP/1.1 ") + status +
                " Status\r\ncontent-length: 2\r\n\r\nok");
    CHECK_TRUE_TEXT(result.mFailure.has_value(), status);
    CHECK_TRUE_TEXT(result.mFailure->mKind == http::FailureKind::Malformed,
                    status);
    CHECK_TRUE_TEXT(result.mFailure->mMayHaveReached, status);
  }
}

TEST(InvalidStatus, BehindAnInterimResponseFailsTheRequest)
{
  const FetchResult result =
    FetchFrom("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Status\r\n\r\n");
  CHECK_TRUE(result.mFailure.has_value());
  CHECK_TRUE(result.mFailure->mKind == http::FailureKind::Malformed);
}

// Guards against bounds that reject the statuses at their edges.
TEST(InvalidStatus, InterimAndFinalStatusesAtTheBoundsAreValid)
{
  for (const int status : { 200, 599 }) {
    const FetchResult result = FetchFrom(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Status\r\n\r\n"
      "HTTP/1.1 " +
      std::to_string(status) + " Status\r\ncontent-length: 2\r\n\r\nok");
    CHECK_FALSE(result.mFailure.has_value());
    CHECK_EQUAL(status, result.mHead.mStatus);
  }
}
