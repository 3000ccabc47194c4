#include "standins/src/Caller.h"
#include "standins/src/Upstream.h"

#include "standins/test/StandinTest.h"

using namespace auburnmux;
using namespace auburnmux::standins;
using http::FetchResult;

namespace {

constexpr std::uint16_t kPort = 19320;

FetchResult Success(const std::string& aBody)
{
  FetchResult result;
  result.mBody = aBody;
  return result;
}

} // namespace

/** A caller, and an entry host that answers as a test tells it. */
TEST_GROUP_BASE(Caller, SocketGroup)
{
  using Handler = std::function<void(const ExchangePtr&)>;

  Json Run(const std::string& aMix, Handler aHandler)
  {
    const http::Endpoint entry{ "127.0.0.1", base::PortNumber(kPort) };
    http::Server server(mLoop, entry, [&](const ExchangePtr& aExchange) {
      if (aExchange->Head().mPath == "/v1/lookup") {
        // The first host refuses connections.
        Reply(aExchange, 200,
              { { "lifetime_s", 5 },
                { "hosts",
                  { { { "address", "127.0.0.1" }, { "port", 19399 } },
                    { { "address", "127.0.0.1" }, { "port", kPort } } } } });
      } else {
        aHandler(aExchange);
      }
    });
    CallerSettings settings;
    settings.mEntries = { { "127.0.0.1", base::PortNumber(19398) }, entry };
    settings.mClasses = DefaultClasses("subsidy-core");
    CHECK_TRUE(ApplyMix(aMix, settings.mClasses));
    settings.mRate = 200;
    settings.mTime = std::chrono::milliseconds(100);
    settings.mKeepsKeys = true;
    Json report;
    Caller caller(mLoop, settings, [&](const Json& aReport) {
      report = aReport;
      mLoop.Stop();
    });
    mLoop.Run();
    return report["classes"];
  }

  /** Answers as an upstream does, with the field \a aName replaced. */
  static void Answer(const ExchangePtr& aExchange,
                     const std::string& aName = "",
                     std::size_t aMissingBytes = 0)
  {
    const http::RequestHead& head = aExchange->Head();
    CollectBody(aExchange, [=](const std::string& aBody) {
      Json answer = {
        { "nonce", http::QueryValue(head.mQuery, "nonce").value_or("") },
        { "key", head.mHeaders.Find("idempotency-key").value_or("") },
        { "digest", base::DigestHex(aBody) }
      };
      if (!aName.empty()) {
        answer[aName] = "other";
      }
      const std::string text = answer.dump();
      aExchange->SendHead({ 200, {}, base::ByteCount(text.size()) });
      aExchange->SendBody(text.substr(0, text.size() - aMissingBytes));
      if (aMissingBytes == 0) {
        aExchange->Finish();
      } else {
        aExchange->Abort();
      }
    });
  }
};

TEST(Caller, AcceptsOwnAnswersAndFallsToTheNextHost)
{
  const Json classes = Run("checks:1,once:1,uploads:1",
                           [](const ExchangePtr& aIt) { Answer(aIt); });
  int sent = 0;
  for (const Json& it : classes) {
    sent += it["sent"].get<int>();
    CHECK_EQUAL(it["sent"].get<int>(), it["ok"].get<int>());
    CHECK_EQUAL(it["sent"].get<int>(), it["retried"].get<int>());
  }
  CHECK_TRUE(sent > 3);
}

// Guards against a crossed answer that counts as a success.
TEST(Caller, DetectsAnswersOfOtherRequests)
{
  for (const std::string field : { "nonce", "key", "digest" }) {
    const Json once = Run(
      "once:1", [&](const ExchangePtr& aIt) { Answer(aIt, field); })["once"];
    CHECK_TRUE(once["sent"].get<int>() > 0);
    CHECK_EQUAL(once["sent"].get<int>(), once["wrong_answers"].get<int>());
  }
}

// Guards against a cut answer that counts as a success.
TEST(Caller, TruncatedAnswerIsAFailure)
{
  const Json checks = Run(
    "checks:1", [](const ExchangePtr& aIt) { Answer(aIt, "", 5); })["checks"];
  CHECK_TRUE(checks["sent"].get<int>() > 0);
  CHECK_EQUAL(checks["sent"].get<int>(), checks["failed"].get<int>());
  CHECK_EQUAL(0, checks["ok"].get<int>());
}

TEST(Caller, OnceWorkIsRetriedWithItsKey)
{
  std::map<std::string, int> attempts;
  const Json once = Run("once:1", [&](const ExchangePtr& aExchange) {
    const std::string key(
      aExchange->Head().mHeaders.Find("idempotency-key").value_or(""));
    if (++attempts[key] == 1) {
      Reply(aExchange, 503, Json::object(), { { "work-outcome", "not-run" } });
    } else {
      Answer(aExchange);
    }
  })["once"];
  CHECK_EQUAL(once["sent"].get<int>(), once["ok"].get<int>());
  CHECK_EQUAL(once["sent"].get<std::size_t>(), attempts.size());
  for (const auto& [key, count] : attempts) {
    CHECK_EQUAL(2, count);
    CHECK_EQUAL(36U, key.size());
    CHECK_TRUE(key[14] == '7');
    CHECK_TRUE(std::string("89ab").find(key[19]) != std::string::npos);
  }
}

TEST_GROUP(AnswerCheck){};

// Guards against a whole message whose content is cut.
TEST(AnswerCheck, CutContentIsWrong)
{
  const ExpectedAnswer expected{ "n", "k", "d" };
  const std::string body = R"({"nonce":"n","key":"k","digest":"d"})";
  CHECK_TRUE(CheckAnswer(expected, Success(body)) == Verdict::Own);
  for (std::size_t n = 0; n < body.size(); ++n) {
    CHECK_TRUE(CheckAnswer(expected, Success(body.substr(0, n))) ==
               Verdict::Wrong);
  }
}

TEST_GROUP(Samples){};

TEST(Samples, QuantilesAreExact)
{
  Samples samples;
  DOUBLES_EQUAL(0, samples.Quantile(0.5), 0);
  for (int i = 100; i > 0; --i) {
    samples.Add(std::chrono::milliseconds(i));
  }
  DOUBLES_EQUAL(51, samples.Quantile(0.5), 1e-9);
  DOUBLES_EQUAL(100, samples.Quantile(0.99), 1e-9);
  DOUBLES_EQUAL(100, samples.Quantile(1.0), 1e-9);
}
