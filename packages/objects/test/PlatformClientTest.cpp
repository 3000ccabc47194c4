#include "objects/Objects.h"

#include "base/test/support/Property.h"

#include <optional>

using namespace auburnmux;
using namespace auburnmux::objects;

namespace {

const http::Endpoint kServer{ "127.0.0.1", base::PortNumber(19851) };

/** The next answer of the server and the last request that it received. */
struct ServerScript
{
  int mStatus = 200;
  http::Headers mHeaders;
  std::string mBody;
  bool mIsAborted = false;
  http::RequestHead mLastRequest;
};

} // namespace

TEST_GROUP(PlatformClient)
{
  http::Loop mLoop;
  http::Client mHttp{ mLoop };
  ServerScript mScript;
  http::Server mServer{ mLoop, kServer, [this](const auto& aExchange) {
                         mScript.mLastRequest = aExchange->Head();
                         if (mScript.mIsAborted) {
                           mLoop.After(std::chrono::milliseconds(1),
                                       [aExchange] { aExchange->Abort(); });
                         } else {
                           aExchange->Respond(mScript.mStatus, mScript.mHeaders,
                                              mScript.mBody);
                         }
                       } };
  PlatformClient mClient{ mLoop, mHttp, kServer };

  /** Runs the loop until the call reports its result. */
  template<typename Result, typename Call>
  Result Wait(Call aCall)
  {
    std::optional<Result> result;
    aCall([&](const Result& aResult) {
      result = aResult;
      mLoop.Stop();
    });
    CHECK_FALSE(result.has_value());
    mLoop.Run();
    return *result;
  }
  PutResult Put(PlatformClient & aClient, const std::string& aBytes,
                const WriteCondition& aCondition)
  {
    return Wait<PutResult>([&](const auto& aDone) {
      aClient.Put("a/b", aBytes, aCondition, { CallPurpose::Publish }, aDone);
    });
  }
  GetResult Get(PlatformClient & aClient)
  {
    return Wait<GetResult>(
      [&](const auto& aDone) { aClient.Get("a/b", {}, aDone); });
  }
  std::string SentHeader(const char* aHeader) const
  {
    return std::string(
      mScript.mLastRequest.mHeaders.Find(aHeader).value_or(""));
  }
};

// Guards against sending a write without its condition.
TEST(PlatformClient, SendsTheConditionOfAWrite)
{
  mScript.mHeaders = { { "etag", "\"7\"" } };
  const PutResult created = Put(mClient, "x", IfAbsent{});
  LONGS_EQUAL(7, std::get<ObjectStored>(created).mVersion.Count());
  STRCMP_EQUAL("*", SentHeader("if-none-match").c_str());
  Put(mClient, "x", IfVersion{ base::ObjectVersion{ 6 } });
  STRCMP_EQUAL("\"6\"", SentHeader("if-match").c_str());
  STRCMP_EQUAL("/v1/objects/a/b", mScript.mLastRequest.mPath.c_str());
}

// Guards against reporting an unknown outcome as a definite one.
TEST(PlatformClient, DistinguishesDefiniteFromUnknownOutcomes)
{
  mScript.mStatus = 412;
  CHECK_TRUE(
    std::holds_alternative<ConditionFailed>(Put(mClient, "x", IfAbsent{})));
  mScript.mStatus = 503;
  CHECK_TRUE(
    std::holds_alternative<CallUnanswered>(Put(mClient, "x", IfAbsent{})));
  mScript.mStatus = 400;
  CHECK_TRUE(
    std::holds_alternative<CallRefused>(Put(mClient, "x", IfAbsent{})));
  mScript.mStatus = 200; // without a version
  CHECK_TRUE(
    std::holds_alternative<CallUnanswered>(Put(mClient, "x", IfAbsent{})));
  mScript.mIsAborted = true;
  CHECK_TRUE(
    std::holds_alternative<CallUnanswered>(Put(mClient, "x", IfAbsent{})));
  PlatformClient unreachable(mLoop, mHttp,
                             { "127.0.0.1", base::PortNumber(19852) });
  const PutResult refused = Put(unreachable, "x", IfAbsent{});
  CHECK_TRUE(std::get<CallRefused>(refused).mReason ==
             CallRefused::Reason::NotConnected);
}

TEST(PlatformClient, ReadsValuesAndWatches)
{
  mScript.mHeaders = { { "etag", "\"3\"" } };
  mScript.mBody = "value";
  STRCMP_EQUAL("value", std::get<ObjectFound>(Get(mClient)).mBytes.c_str());
  mScript.mStatus = 404;
  CHECK_TRUE(std::holds_alternative<ObjectNotFound>(Get(mClient)));
  mScript.mStatus = 304;
  mScript.mBody.clear();
  const auto watched = Wait<WatchResult>([&](const auto& aDone) {
    mClient.Watch("a/b", base::ObjectVersion{ 3 },
                  { CallPurpose::ConfigWatch, kWatchTimeout }, aDone);
  });
  CHECK_TRUE(std::holds_alternative<ObjectUnchanged>(watched));
  STRCMP_EQUAL("watch=3", mScript.mLastRequest.mQuery.c_str());
}

// Guards against sending calls above the budget and values that are too large.
TEST(PlatformClient, RefusesBeforeSending)
{
  CallRates rates = DefaultCallRates();
  rates[static_cast<std::size_t>(CallPurpose::ConfigRead)] = { 0.001, 1 };
  PlatformClient client(mLoop, mHttp, kServer, CallBudget(rates));
  Get(client);
  CHECK_TRUE(std::get<CallRefused>(Get(client)).mReason ==
             CallRefused::Reason::Budget);
  const PutResult large = Put(client, std::string(1'000'001, 'x'), IfAbsent{});
  CHECK_TRUE(std::get<CallRefused>(large).mReason ==
             CallRefused::Reason::TooLarge);
  LONGS_EQUAL(1, client.Budget().Counts(CallPurpose::ConfigRead).mMade);
}

// Guards against rejecting a host list because of one invalid entry, and
// against accepting an incomplete object list.
TEST(PlatformClient, ReadsLists)
{
  mScript.mBody = R"([{"id":"a-1","address":"127.0.0.1:80","zone":1,
    "data_centre":"dc","leaving":true},{"id":7},
    {"id":"b-1","address":"127.0.0.2","data_centre":"dc"}])";
  const auto hosts = Wait<HostsResult>([&](const auto& aDone) {
    mClient.ListHosts({ CallPurpose::HostList }, aDone);
  });
  const auto& list = std::get<std::vector<ListedHost>>(hosts);
  LONGS_EQUAL(2, list.size());
  LONGS_EQUAL(80, list[0].mEndpoint.mPort.Count());
  CHECK_TRUE(list[0].mIsLeaving && !list[1].mIsLeaving);
  const auto objects = [&]() {
    return Wait<ListResult>(
      [&](const auto& aDone) { mClient.List("a/", {}, aDone); });
  };
  CHECK_TRUE(std::holds_alternative<CallUnanswered>(objects()));
  mScript.mBody = R"({"objects":[{"name":"a/b","version":2}]})";
  LONGS_EQUAL(
    2, std::get<std::vector<ListedObject>>(objects()).at(0).mVersion.Count());
  STRCMP_EQUAL("prefix=a/", mScript.mLastRequest.mQuery.c_str());
}

// A change has to be in force 4 s after its acceptance.
TEST(PlatformClient, SilentConnectionEndsBeforeAChangeIsDue)
{
  constexpr base::Duration kChangeDue = std::chrono::seconds(4);
  constexpr base::Duration kTimeToRead = std::chrono::seconds(1);
  CHECK_TRUE(PlatformClient::ConnectionOptions().SilenceTimeout() +
               kTimeToRead <=
             kChangeDue);
}
