#include "routing/Routing.h"

#include "base/test/support/Property.h"

#include <algorithm>
#include <map>

using namespace auburnmux;
using namespace auburnmux::routing;

namespace {

Route MakeRoute(const char* aId, const char* aPrefix)
{
  Route route;
  route.mId = RouteId(aId);
  route.mHost = "portal.example";
  route.mPathPrefix = aPrefix;
  route.mParts = { { base::ServiceId("core") } };
  return route;
}

Configuration MakeConfiguration(std::uint64_t aVersion,
                                std::vector<Route> aRoutes)
{
  Configuration configuration;
  configuration.mVersion = base::ConfigVersion(aVersion);
  configuration.mRoutes = std::move(aRoutes);
  return configuration;
}

} // namespace

TEST_GROUP(Routing){};

TEST(Routing, LongestPrefixWins)
{
  RouteTable table;
  table.Update(
    MakeConfiguration(1, { MakeRoute("all", "/"), MakeRoute("a", "/a/"),
                           MakeRoute("ab", "/a/b/") }));
  const auto find = [&](const char* aPath) {
    return table.Find("Portal.example:80", aPath)->mId.Text();
  };
  STRCMP_EQUAL("ab", find("/a/b/c").c_str());
  STRCMP_EQUAL("ab", find("/a/b/").c_str());
  STRCMP_EQUAL("a", find("/a/b").c_str());
  STRCMP_EQUAL("all", find("/ab/b/").c_str());
  CHECK_TRUE(table.Find("other.example", "/a/") == nullptr);
}

// Guards against a return to an older version, which would undo what the
// operator published.
TEST(Routing, VersionsOnlyRise)
{
  CHECK_PROPERTY("the table holds the highest version offered",
                 [](const std::vector<std::uint8_t>& aVersions) {
                   RouteTable table;
                   std::uint64_t highest = 0;
                   for (const std::uint8_t it : aVersions) {
                     const bool isNewer = it > highest;
                     RC_ASSERT(table.Update(MakeConfiguration(it, {})) ==
                               isNewer);
                     highest = std::max<std::uint64_t>(highest, it);
                     RC_ASSERT(table.Version() == base::ConfigVersion(highest));
                   }
                 });
}

TEST(Routing, RouteOutlivesTheConfigurationThatReplacesIt)
{
  RouteTable table;
  table.Update(MakeConfiguration(1, { MakeRoute("old", "/a/") }));
  const auto route = table.Find("portal.example", "/a/x");
  table.Update(MakeConfiguration(2, {}));
  STRCMP_EQUAL("old", route->mId.Text().c_str());
  CHECK_TRUE(table.Find("portal.example", "/a/x") == nullptr);
}

// Guards against shares that differ from the weights over a short time, and
// against a bias towards one part.
TEST(Routing, SplitKeepsItsWeights)
{
  CHECK_PROPERTY("each share stays near its weight", [] {
    Route route = MakeRoute("split", "/");
    route.mParts.clear();
    const auto weights = *rc::gen::container<std::vector<std::uint32_t>>(
      3, rc::gen::inRange<std::uint32_t>(1, 100));
    double total = 0;
    for (std::size_t i = 0; i < weights.size(); ++i) {
      route.mParts.push_back(
        { base::ServiceId("s" + std::to_string(i)), Weight(weights[i]) });
      total += weights[i];
    }
    SplitSelector selector;
    std::map<std::string, double> counts;
    constexpr int kRequests = 500;
    for (int i = 0; i < kRequests; ++i) {
      ++counts[selector.Next(route).Text()];
    }
    for (std::size_t i = 0; i < weights.size(); ++i) {
      const double expected = kRequests * weights[i] / total;
      RC_ASSERT(std::abs(counts["s" + std::to_string(i)] - expected) <= 2.0);
    }
  });
}

TEST(Routing, ConfirmationIsRecentWhileTheSourceAnswers)
{
  const auto at = [](int aMilliseconds) {
    return base::TimePoint(std::chrono::milliseconds(aMilliseconds));
  };
  Confirmation confirmation;
  CHECK_FALSE(confirmation.IsRecent(at(1000)));
  confirmation.Confirm(at(1000));
  CHECK_TRUE(confirmation.IsRecent(at(3500)));
  CHECK_FALSE(confirmation.IsRecent(at(3501)));
  confirmation.Confirm(at(4000));
  CHECK_TRUE(confirmation.IsRecent(at(4001)));
  // An older report of another host arrives late.
  confirmation.Confirm(at(1000));
  CHECK_TRUE(confirmation.IsRecent(at(6500)));
}
