#include "standins/src/Link.h"

#include "standins/test/StandinTest.h"

using namespace auburnmux;
using namespace auburnmux::standins;

namespace {

constexpr std::uint16_t kPort = 19330;
constexpr std::uint16_t kLinkPort = 19331;

} // namespace

TEST_GROUP_BASE(Link, SocketGroup)
{
  int mArrived = 0;
  http::Server mServer{ mLoop,
                        { "127.0.0.1", base::PortNumber(kPort) },
                        [this](const ExchangePtr& aExchange) {
                          ++mArrived;
                          CollectBody(aExchange,
                                      [aExchange](const std::string& aBody) {
                                        aExchange->Respond(200, {}, aBody);
                                      });
                        } };
  Link mLink{ mLoop,
              { "127.0.0.1", base::PortNumber(kLinkPort) },
              { "127.0.0.1", base::PortNumber(kPort) } };

  http::FetchResult FetchThroughLink(const std::string& aBody = "x",
                                     base::Duration aTimeout =
                                       std::chrono::seconds(5))
  {
    return Fetch(Request(kLinkPort, "PUT", "/"), aBody, aTimeout);
  }
};

TEST(Link, CarriesLargeBodiesBothWays)
{
  const std::string body(kMaxBodyBytes, 'x');
  CHECK_TRUE(FetchThroughLink(body).mBody == body);
  mLink.Configure({ { "delay_ms", 5 } });
  CHECK_TRUE(FetchThroughLink(body).mBody == body);
}

TEST(Link, CutRefusesAndHeals)
{
  CHECK_TRUE(FetchThroughLink().IsOk());
  mLink.Configure({ { "cut", true } });
  CHECK_TRUE(FetchThroughLink().mFailure.has_value());
  CHECK_EQUAL(1, mArrived);
  mLink.Configure({ { "cut", false } });
  CHECK_TRUE(FetchThroughLink().IsOk());
}

// Guards against a one-way link that fails in both directions or in neither.
TEST(Link, OneWayLinkDeliversRequestsWithoutAnswers)
{
  mLink.Configure({ { "one_way", "forward" } });
  const auto result = FetchThroughLink("x", std::chrono::milliseconds(50));
  CHECK_TRUE(result.mIsTimeout);
  CHECK_EQUAL(1, mArrived);
  mLink.Configure({ { "one_way", "backward" } });
  CHECK_TRUE(FetchThroughLink("x", std::chrono::milliseconds(50)).mIsTimeout);
  CHECK_EQUAL(1, mArrived);
  mLink.Configure({ { "one_way", "" } });
  CHECK_TRUE(FetchThroughLink().IsOk());
}

TEST(Link, FrozenConnectionGoesOnAfterwards)
{
  mLink.Configure({ { "frozen", true } });
  mLoop.After(std::chrono::milliseconds(30), [this] {
    mLink.Configure({ { "frozen", false } });
  });
  CHECK_TRUE(FetchThroughLink().IsOk());
}
