#include "standins/src/Upstream.h"

#include "standins/test/StandinTest.h"

using namespace auburnmux;
using namespace auburnmux::standins;
using http::FetchResult;

namespace {

constexpr std::uint16_t kPort = 19310;

UpstreamSettings Settings()
{
  UpstreamSettings settings;
  settings.mListen = { "127.0.0.1", base::PortNumber(kPort) };
  settings.mSlots = base::SlotCount(2);
  settings.mQueueLimit = 1;
  settings.mMeanTime = std::chrono::milliseconds(20);
  settings.mSigma = 0;
  settings.mRestartTime = std::chrono::milliseconds(50);
  settings.mDrainGrace = std::chrono::milliseconds(30);
  return settings;
}

http::ClientRequest Post(const std::string& aKey)
{
  auto request = SocketGroup::Request(kPort, "POST", "/vouchers?nonce=n");
  request.mHeaders.Set("idempotency-key", aKey);
  return request;
}

} // namespace

TEST_GROUP_BASE(Upstream, SocketGroup)
{
  KeyLedger mLedger;
  Upstream mUpstream{ mLoop, mLedger, Settings() };

  void Control(const std::string& aChange)
  {
    CHECK_TRUE(Fetch(Request(kPort, "PUT", "/control"), aChange).IsOk());
  }
  FetchResult Check()
  {
    return Fetch(Request(kPort, "GET", "/status/1?nonce=7&bytes=500"));
  }
  static std::string OutcomeOf(const FetchResult& aResult)
  {
    return std::string(
      aResult.mHead.mHeaders.Find("work-outcome").value_or(""));
  }
  /** \returns the results of requests that start together. */
  std::vector<FetchResult> FetchAll(std::size_t aCount)
  {
    std::vector<FetchResult> results;
    for (std::size_t i = 0; i < aCount; ++i) {
      http::Fetch(mLoop, mClient, Request(kPort, "GET", "/status/1"), {},
                  std::chrono::seconds(5), [&](const FetchResult& aResult) {
                    results.push_back(aResult);
                    if (results.size() == aCount) {
                      mLoop.Stop();
                    }
                  });
    }
    mLoop.Run();
    return results;
  }
};

TEST(Upstream, AnswerIsCheckable)
{
  const FetchResult result = Check();
  CHECK_EQUAL(500U, result.mBody.size());
  const Json answer = Json::parse(result.mBody);
  STRCMP_EQUAL("7", answer["nonce"].get<std::string>().c_str());
  STRCMP_EQUAL("/status/1", answer["path"].get<std::string>().c_str());
  STRCMP_EQUAL("run", OutcomeOf(result).c_str());
  const std::string body(200000, 'u');
  const FetchResult upload = Fetch(Request(kPort, "PUT", "/uploads/1"), body);
  STRCMP_EQUAL(base::DigestHex(body).c_str(),
               Json::parse(upload.mBody)["digest"].get<std::string>().c_str());
}

// Guards against load that the slots don't bound: overload would go unseen.
TEST(Upstream, SlotsThenQueueThenRefusal)
{
  int run = 0;
  int refused = 0;
  for (const FetchResult& it : FetchAll(5)) {
    run += OutcomeOf(it) == "run" ? 1 : 0;
    refused += OutcomeOf(it) == "not-run" && it.mHead.mStatus == 503 ? 1 : 0;
  }
  CHECK_EQUAL(3, run);
  CHECK_EQUAL(2, refused);
  CHECK_EQUAL(2, mUpstream.Stats()["max_concurrent"].get<int>());
  CHECK_EQUAL(3, mUpstream.Stats()["executed"].get<int>());
}

// Guards against upload bodies that are damaged while several arrive or wait.
TEST(Upstream, ConcurrentUploadsArriveUnchanged)
{
  UpstreamSettings settings = Settings();
  settings.mListen.mPort = base::PortNumber(kPort + 1);
  settings.mQueueLimit = 20;
  const Upstream upstream(mLoop, mLedger, settings);
  std::size_t done = 0;
  std::size_t damaged = 0;
  for (std::size_t i = 0; i < 12; ++i) {
    std::string body(200000, static_cast<char>('a' + i));
    body.replace(0, 8, "upload--");
    http::Fetch(mLoop, mClient, Request(kPort + 1, "PUT", "/uploads"), body,
                std::chrono::seconds(5),
                [&, digest = base::DigestHex(body)](const FetchResult& aIt) {
                  damaged += aIt.mBody.find(digest) == std::string::npos;
                  if (++done == 12) {
                    mLoop.Stop();
                  }
                });
  }
  mLoop.Run();
  CHECK_EQUAL(0U, damaged);
}

TEST(Upstream, CountsKeysExecutedTwice)
{
  CHECK_TRUE(Fetch(Post("a")).IsOk());
  CHECK_TRUE(Fetch(Post("b")).IsOk());
  CHECK_EQUAL(0, mUpstream.Stats()["doubled"].get<int>());
  CHECK_TRUE(Fetch(Post("a")).IsOk());
  CHECK_EQUAL(1, mUpstream.Stats()["doubled"].get<int>());
}

TEST(Upstream, ClosedConnectionCancelsWork)
{
  Control(R"({"slow_factor":100})");
  const auto exchange =
    http::Fetch(mLoop, mClient, Request(kPort, "GET", "/x"), {},
                std::chrono::seconds(5), [](const FetchResult&) {});
  RunFor(std::chrono::milliseconds(20));
  CHECK_EQUAL(1, mUpstream.Stats()["running"].get<int>());
  exchange->Cancel();
  RunFor(std::chrono::milliseconds(20));
  CHECK_EQUAL(0, mUpstream.Stats()["running"].get<int>());
  CHECK_EQUAL(1, mUpstream.Stats()["cancelled"].get<int>());
}

TEST(Upstream, RefusesDeadlineThatCannotBeMet)
{
  auto request = Request(kPort, "GET", "/x");
  request.mHeaders.Set("request-deadline-ms", "10");
  STRCMP_EQUAL("not-run", OutcomeOf(Fetch(request)).c_str());
  request.mHeaders.Set("request-deadline-ms", "1000");
  STRCMP_EQUAL("run", OutcomeOf(Fetch(request)).c_str());
}

// Guards against a crash that leaves connections or work behind.
TEST(Upstream, CrashClosesConnectionsAndRefusesThem)
{
  CHECK_TRUE(Check().IsOk());
  const FetchResult crashed = Fetch(Request(kPort, "GET", "/x?crash=1"));
  CHECK_TRUE(crashed.mFailure.has_value());
  CHECK_TRUE(crashed.mFailure->mKind == http::FailureKind::Reset);
  RunFor(std::chrono::milliseconds(10));
  CHECK_EQUAL(0, mUpstream.Stats()["connections"].get<int>());
  const FetchResult refused = Check();
  CHECK_TRUE(refused.mFailure.has_value());
  CHECK_TRUE(refused.mFailure->mKind == http::FailureKind::ConnectRefused);
  RunFor(std::chrono::milliseconds(80));
  CHECK_TRUE(Check().IsOk());
}

// Guards against a silence that shows, by an answer or by a close.
TEST(Upstream, SilentConnectionsStaySilentWhileNewOnesWork)
{
  CHECK_TRUE(Check().IsOk());
  Control(R"({"silent":true})");
  RunFor(std::chrono::milliseconds(40));
  const FetchResult silent =
    Fetch(Request(kPort, "GET", "/x"), {}, std::chrono::milliseconds(100));
  CHECK_TRUE(silent.mIsTimeout);
  auto request = Request(kPort, "GET", "/x");
  request.mNeedsFreshConnection = true;
  CHECK_TRUE(Fetch(request).IsOk());
}

TEST(Upstream, DrainAnnouncesThenRefuses)
{
  Control(R"({"draining":true})");
  const FetchResult first = Check();
  CHECK_TRUE(first.IsOk());
  CHECK_TRUE(first.mHead.mHeaders.Find("upstream-state") == "leaving");
  RunFor(std::chrono::milliseconds(40));
  STRCMP_EQUAL("not-run", OutcomeOf(Check()).c_str());
  CHECK_EQUAL(1, mUpstream.Stats()["work_after_drain"].get<int>());
}

TEST_GROUP(UpstreamParts){};

TEST(UpstreamParts, LoadReportLags)
{
  LaggingLoad load;
  const base::TimePoint start{ std::chrono::seconds(10) };
  load.Record(5, start);
  load.Record(9, start + std::chrono::seconds(1));
  const base::Duration lag = std::chrono::seconds(5);
  CHECK_EQUAL(0U, load.Report(start + std::chrono::seconds(4), lag));
  CHECK_EQUAL(5U, load.Report(start + std::chrono::seconds(5), lag));
  CHECK_EQUAL(9U, load.Report(start + std::chrono::seconds(60), lag));
}

TEST(UpstreamParts, ServiceTimeKeepsItsMeanAndFallsWhenWarm)
{
  UpstreamSettings settings = Settings();
  settings.mSigma = 0.5;
  settings.mColdStart = std::chrono::seconds(10);
  ServiceTime times(7);
  double sum = 0;
  for (int i = 0; i < 20000; ++i) {
    sum += static_cast<double>(
      times.Draw(settings, std::chrono::seconds(10)).count());
  }
  DOUBLES_EQUAL(20e6, sum / 20000, 0.4e6);
  CHECK_EQUAL(60e6, ServiceTime::Expect(settings, {}).count());
  CHECK_EQUAL(40e6,
              ServiceTime::Expect(settings, std::chrono::seconds(5)).count());
}

TEST(UpstreamParts, ServiceFileNamesUpstreams)
{
  const Json file = Json::parse(
    R"({"service":"s","upstreams":[{"id":"u1","address":"127.0.0.9",
        "port":9,"slots":3,"connections":7}]})");
  const auto all = ReadServiceFile(file, Settings());
  CHECK_EQUAL(1U, all.size());
  CHECK_EQUAL(3U, all[0].mSlots.Count());
  CHECK_EQUAL(7U, all[0].mConnections.Count());
  const auto many = OnConsecutiveAddresses(Settings(), 300);
  STRCMP_EQUAL("127.0.1.44", many[299].mListen.mAddress.c_str());
}
