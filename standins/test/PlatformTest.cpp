#include "standins/src/Platform.h"

#include "standins/test/StandinTest.h"

using namespace auburnmux;
using namespace auburnmux::standins;
using http::FetchResult;

namespace {

constexpr std::uint16_t kPort = 19300;

std::string Tag(const FetchResult& aResult)
{
  return std::string(aResult.mHead.mHeaders.Find("etag").value_or(""));
}

} // namespace

TEST_GROUP_BASE(Platform, SocketGroup)
{
  Platform mPlatform{ mLoop,
                      { { "127.0.0.1", base::PortNumber(kPort) },
                        { std::chrono::milliseconds(30),
                          std::chrono::seconds(60) },
                        std::chrono::milliseconds(50) } };

  FetchResult Put(const std::string& aName, const std::string& aValue,
                  const http::Headers& aHeaders = {})
  {
    auto request = Request(kPort, "PUT", "/v1/objects/" + aName);
    request.mHeaders = aHeaders;
    return Fetch(request, aValue);
  }
  FetchResult Get(const std::string& aTarget)
  {
    return Fetch(Request(kPort, "GET", aTarget));
  }
  void Faults(const std::string& aFaults)
  {
    CHECK_TRUE(Fetch(Request(kPort, "PUT", "/control/faults"), aFaults).IsOk());
  }
};

// Guards against two writers that both believe their conditional write won.
TEST(Platform, ConditionalWritesHaveOneWinner)
{
  const FetchResult created = Put("a/b", "1", { { "if-none-match", "*" } });
  CHECK_TRUE(created.IsOk());
  CHECK_EQUAL(412, Put("a/b", "2", { { "if-none-match", "*" } }).mHead.mStatus);
  const std::string tag = Tag(created);
  const FetchResult updated = Put("a/b", "3", { { "if-match", tag } });
  CHECK_TRUE(updated.IsOk());
  CHECK_EQUAL(412, Put("a/b", "4", { { "if-match", tag } }).mHead.mStatus);
  const FetchResult read = Get("/v1/objects/a/b");
  STRCMP_EQUAL("3", read.mBody.c_str());
  STRCMP_EQUAL(Tag(updated).c_str(), Tag(read).c_str());
  CHECK_EQUAL(404, Get("/v1/objects/a").mHead.mStatus);
}

TEST(Platform, ListNamesObjectsOfPrefixWithVersions)
{
  Put("claims/1/1", "x");
  Put("claims/1/2", "y");
  Put("config/current", "z");
  CHECK_TRUE(Fetch(Request(kPort, "DELETE", "/v1/objects/claims/1/1")).IsOk());
  const FetchResult list = Get("/v1/objects?prefix=claims/");
  STRCMP_EQUAL(R"({"objects":[{"name":"claims/1/2","version":2}]})",
               list.mBody.c_str());
}

// Guards against a lost answer that also loses the change: a caller's way to
// resolve it would never be exercised.
TEST(Platform, LostAnswerComesAfterTheChange)
{
  Faults(R"({"lose_next_answers":1})");
  const FetchResult lost = Put("x", "1");
  CHECK_TRUE(lost.mFailure.has_value() && lost.mFailure->mMayHaveReached);
  STRCMP_EQUAL("1", Get("/v1/objects/x").mBody.c_str());
  CHECK_TRUE(Put("x", "2").IsOk());
}

TEST(Platform, WatchEndsWithChangeOr304)
{
  Put("x", "1");
  CHECK_EQUAL(304, Get("/v1/objects/x?watch=1").mHead.mStatus);
  mLoop.After(std::chrono::milliseconds(5), [this] {
    http::Fetch(mLoop, mClient, Request(kPort, "PUT", "/v1/objects/x"), "2",
                std::chrono::seconds(5), [](const FetchResult&) {});
  });
  const FetchResult changed = Get("/v1/objects/x?watch=1");
  STRCMP_EQUAL("2", changed.mBody.c_str());
  STRCMP_EQUAL("2", Get("/v1/objects/x?watch=0").mBody.c_str());
  const Json counts = Json::parse(Get("/control/counts").mBody);
  CHECK_EQUAL(3, counts["watch"].get<int>());
  CHECK_EQUAL(2, counts["put"].get<int>());
}

TEST(Platform, StaleReadShowsEarlierState)
{
  Put("x", "1");
  Faults(R"({"stale_reads_ms":60000})");
  Put("x", "2");
  STRCMP_EQUAL("1", Get("/v1/objects/x").mBody.c_str());
  Faults(R"({"stale_reads_ms":0})");
  STRCMP_EQUAL("2", Get("/v1/objects/x").mBody.c_str());
}

TEST(Platform, DownAndDroppedRequestsHaveNoEffect)
{
  Faults(R"({"down":true})");
  CHECK_TRUE(Put("x", "1").mFailure.has_value());
  Faults(R"({"down":false,"drop_requests":1})");
  const FetchResult dropped = Fetch(Request(kPort, "PUT", "/v1/objects/x"), "1",
                                    std::chrono::milliseconds(50));
  CHECK_TRUE(dropped.mIsTimeout);
  CHECK_EQUAL(404, Get("/v1/objects/x").mHead.mStatus);
}

TEST(Platform, ValueAboveTheLimitIsRefused)
{
  CHECK_TRUE(Put("x", std::string(kMaxBodyBytes, 'x')).IsOk());
  CHECK_EQUAL(413, Put("x", std::string(kMaxBodyBytes + 1, 'y')).mHead.mStatus);
}

TEST(Platform, HostIsListedAfterTheLag)
{
  const auto announce = Request(kPort, "PUT", "/v1/hosts/h1");
  CHECK_TRUE(Fetch(announce, R"({"address":"127.0.0.1"})").IsOk());
  STRCMP_EQUAL("[]", Get("/v1/hosts").mBody.c_str());
  RunFor(std::chrono::milliseconds(40));
  STRCMP_EQUAL(R"([{"address":"127.0.0.1","id":"h1"}])",
               Get("/v1/hosts").mBody.c_str());
}

TEST_GROUP(HostList){};

TEST(HostList, SilentHostIsDroppedAfterTheLag)
{
  HostList list({ std::chrono::seconds(1), std::chrono::seconds(10) });
  const base::TimePoint start{ std::chrono::seconds(100) };
  list.Announce("h", { { "leaving", false } }, start);
  list.Announce("h", { { "leaving", true } }, start + std::chrono::seconds(5));
  CHECK_TRUE(list.List(start).empty());
  CHECK_FALSE(list.List(start + std::chrono::seconds(5))[0]["leaving"]);
  CHECK_TRUE(list.List(start + std::chrono::seconds(6))[0]["leaving"]);
  CHECK_EQUAL(1U, list.List(start + std::chrono::seconds(15)).size());
  CHECK_TRUE(list.List(start + std::chrono::seconds(16)).empty());
}

TEST_GROUP(ObjectStore){};

// Guards against versions that repeat, which would let a fenced writer pass.
TEST(ObjectStore, VersionsRiseAndConditionsHold)
{
  CHECK_PROPERTY("one rising counter", [](const std::vector<int>& aSteps) {
    ObjectStore store;
    base::ObjectVersion last;
    const base::TimePoint now{};
    for (const int it : aSteps) {
      const std::string name(1, static_cast<char>('a' + (it & 3)));
      const base::ObjectVersion held = store.Get(name).mVersion;
      if ((it & 12) == 0) {
        store.Delete(name, {}, now);
        continue;
      }
      const bool expectsHeld = (it & 4) != 0;
      const base::ObjectVersion expected =
        expectsHeld ? held : held + base::ObjectVersion(1);
      const auto version = store.Put(name, "v", { expected, false }, now);
      RC_ASSERT(version.has_value() ==
                (expectsHeld && held != base::ObjectVersion()));
      const auto forced = store.Put(name, "w", {}, now);
      RC_ASSERT(forced && *forced > last);
      last = *forced;
    }
  });
}
