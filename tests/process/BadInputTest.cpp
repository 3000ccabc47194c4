#include "support/Fleet.h"
#include "support/RawConnection.h"

// Last, because CppUTest defines a macro named new.
#include <CppUTest/TestHarness.h>

using namespace auburnmux;
using namespace auburnmux::process;
using namespace std::chrono_literals;

TEST_GROUP(BadInput)
{
  Fleet mFleet{ { 2, 1, 2 } };

  /** Checks that the hosts live and serve. */
  void CheckServing()
  {
    for (std::size_t host = 0; host < mFleet.HostCount(); ++host) {
      CHECK_TRUE(mFleet.Host(host).IsRunning());
      CHECK_EQUAL(200, mFleet.Probe().Send(mFleet.Check(host)).mStatus);
    }
    CHECK_TRUE(mFleet.WaitUntilReady());
  }

  void CheckRefused(int aStatus, const http::ClientRequest& aRequest,
                    const std::string& aBody = {})
  {
    const Reply reply = mFleet.Probe().Send(aRequest, aBody);
    CHECK_EQUAL_TEXT(aStatus, reply.mStatus, aRequest.mTarget.c_str());
    STRCMP_EQUAL("not-run", reply.mOutcome.c_str());
  }

  /** \returns the answer to bytes that are no proper request. */
  std::string Answer(const std::string& aBytes) const
  {
    const RawConnection connection(mFleet.HostEndpoint(0));
    CHECK_TRUE(connection.IsOpen());
    connection.Send(aBytes);
    return connection.ReadUntil("\r\n\r\n");
  }

  void CheckHeadRefused(const std::string& aBytes) const
  {
    const std::string answer = Answer(aBytes);
    STRNCMP_EQUAL("HTTP/1.1 4", answer.c_str(), 10);
    STRCMP_CONTAINS("work-outcome: not-run", answer.c_str());
  }
};

// Well-formed requests that no route takes must be refused as not run, with
// a status that tells the caller why.
TEST(BadInput, UnacceptableRequests)
{
  http::ClientRequest request = mFleet.Check(0);
  request.mTarget = "/no-such-service/v1/x";
  CheckRefused(404, request);
  request.mTarget = "/subsidy-core/v1/no-such-path";
  CheckRefused(404, request);
  request = mFleet.Check(0);
  request.mMethod = "DELETE";
  CheckRefused(405, request);
  CheckRefused(400, mFleet.Voucher(0, "not-a-key"), "voucher");
  CheckRefused(400, mFleet.Voucher(0, "ffffffff-ffff-7000-8000-000000000000"),
               "voucher");
  request = mFleet.Voucher(0, mFleet.NewKey());
  request.mHeaders.Remove("idempotency-key");
  CheckRefused(400, request, "voucher");
  CheckRefused(413, mFleet.Voucher(0, mFleet.NewKey()),
               std::string(100000, 'x'));
  request = mFleet.Check(0);
  request.mHeaders.Set("request-deadline-ms", "soon");
  CheckRefused(400, request);
  const std::string key = mFleet.NewKey();
  CHECK_EQUAL(200,
              mFleet.Probe().Send(mFleet.Voucher(0, key), "voucher").mStatus);
  CheckRefused(422, mFleet.Voucher(1, key), "another voucher");
  CHECK_EQUAL(1, mFleet.Sum("executed"));
  CheckServing();
}

// Heads that contradict themselves must be refused as not run: two hosts could
// take them for different requests.
TEST(BadInput, MalformedHeads)
{
  const std::string line =
    "POST /subsidy-core/v1/vouchers HTTP/1.1\r\nhost: h\r\n";
  for (const char* it : { "content-length: 5\r\ncontent-length: 6\r\n\r\nabcde",
                          "content-length: -1\r\n\r\n",
                          "content-length: 5\r\n"
                          "transfer-encoding: chunked\r\n\r\n0\r\n\r\n" }) {
    CheckHeadRefused(line + it);
  }
  Answer("\r\n\r\n\r\n");
  Answer(std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11) +
         std::string(500, '\0') + "\r\n\r\n");
  Answer("GET /" + std::string(100000, 'a') + " HTTP/1.1\r\n\r\n");
  CHECK_EQUAL(0, mFleet.Sum("executed"));
  CheckServing();
}

// A head above the limit must be refused as not run, so that its caller need
// not wonder whether the work was done.
TEST(BadInput, OversizedHead)
{
  const std::string line = "GET /subsidy-core/v1/applications/1 HTTP/1.1\r\n";
  CheckHeadRefused(line + "host: h\r\nx: " + std::string(20000, 'b') +
                   "\r\n\r\n");
  CheckServing();
}

// Callers that send slowly or go away in the middle must not keep others
// from being served, and half a voucher must not run.
TEST(BadInput, SlowAndBrokenCallers)
{
  std::vector<std::unique_ptr<RawConnection>> slow;
  for (int it = 0; it < 50; ++it) {
    slow.push_back(std::make_unique<RawConnection>(mFleet.HostEndpoint(0)));
    CHECK_TRUE(slow.back()->IsOpen());
    if (it % 2 == 0) {
      slow.back()->Send("GET /subsidy-core/v1/appl");
    } else {
      slow.back()->Send("POST /subsidy-core/v1/vouchers HTTP/1.1\r\n"
                        "host: h\r\ncontent-length: 100\r\nidempotency-key: " +
                        mFleet.NewKey() + "\r\n\r\nhalf");
    }
  }
  for (int it = 0; it < 10; ++it) {
    CHECK_EQUAL(200, mFleet.Probe().Send(mFleet.Check(0)).mStatus);
  }
  slow.clear();
  CHECK_EQUAL(10, mFleet.Sum("executed"));
  CheckServing();
}

// Anybody can connect to the peer port: what is no message of a host must
// be dropped.
TEST(BadInput, GarbageOnPeerPort)
{
  base::Random random(20261204);
  http::Endpoint peer = mFleet.HostEndpoint(0);
  peer.mPort = base::PortNumber(7000);
  for (int it = 0; it < 20; ++it) {
    const RawConnection connection(peer);
    CHECK_TRUE(connection.IsOpen());
    // Half of them start like a ZeroMQ greeting with the NULL mechanism.
    std::string bytes;
    if (it % 2 == 0) {
      bytes = std::string("\xff\0\0\0\0\0\0\0\x01\x7f\x03\0NULL", 16) +
              std::string(48, '\0');
    }
    for (int n = 0; n < 20000; ++n) {
      bytes += static_cast<char>(random.Below(256));
    }
    connection.Send(bytes);
  }
  CheckServing();
}

// The rest of a body that was refused must not be taken for, or delay, the
// next request on the connection.
TEST(BadInput, RequestAfterRefusedBody)
{
  for (int it = 0; it < 20; ++it) {
    CheckRefused(413, mFleet.Voucher(0, mFleet.NewKey()),
                 std::string(100000, 'x'));
    CHECK_EQUAL(200, mFleet.Probe().Send(mFleet.Check(0)).mStatus);
  }
}
