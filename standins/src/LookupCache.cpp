#include "standins/src/LookupCache.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace auburnmux::standins {

namespace {

constexpr base::Duration kLookupTimeout = std::chrono::seconds(1);

std::vector<http::Endpoint> ReadHosts(const nlohmann::json& aAnswer)
{
  std::vector<http::Endpoint> hosts;
  for (const auto& it : aAnswer.at("hosts")) {
    hosts.push_back({ it.at("address").get<std::string>(),
                      base::PortNumber(it.at("port").get<std::uint16_t>()) });
  }
  return hosts;
}

} // namespace

LookupCache::LookupCache(http::Loop& aLoop, http::Client& aClient,
                         std::vector<http::Endpoint> aEntries,
                         std::string aDataCentre)
  : mLoop(aLoop)
  , mClient(aClient)
  , mEntries(std::move(aEntries))
  , mDataCentre(std::move(aDataCentre))
{
}

void LookupCache::Ask(const std::string& aService, OnHosts aOnHosts)
{
  Entry& entry = mCache[aService];
  if (!entry.mHosts.empty() && mLoop.Now() < entry.mExpires) {
    aOnHosts(entry.mHosts);
    return;
  }
  entry.mWaiting.push_back(std::move(aOnHosts));
  if (entry.mWaiting.size() == 1) {
    Send(aService, 0);
  }
}

void LookupCache::Drop(const std::string& aService)
{
  mCache[aService].mExpires = {};
}

void LookupCache::Send(const std::string& aService, std::size_t aTry)
{
  ++mLookups;
  http::ClientRequest request{ mEntries[aTry % mEntries.size()] };
  request.mTarget = "/v1/lookup?service=" + aService;
  if (!mDataCentre.empty()) {
    request.mTarget += "&data_centre=" + mDataCentre;
  }
  request.mConnectTimeout = kLookupTimeout;
  http::Fetch(mLoop, mClient, request, {}, kLookupTimeout,
              [this, aService, aTry](const http::FetchResult& aResult) {
                HandleResult(aService, aTry, aResult);
              });
}

void LookupCache::HandleResult(const std::string& aService, std::size_t aTry,
                               const http::FetchResult& aResult)
{
  Entry& entry = mCache[aService];
  std::vector<http::Endpoint> hosts;
  if (aResult.IsOk()) {
    try {
      const auto answer = nlohmann::json::parse(aResult.mBody);
      hosts = ReadHosts(answer);
      entry.mExpires =
        mLoop.Now() + std::chrono::seconds(answer.value("lifetime_s", 5));
    } catch (const nlohmann::json::exception& ex) {
      base::LogWarning(base::LogLine("lookup").With("error", ex.what()));
    }
  }
  if (hosts.empty() && aTry + 1 < mEntries.size()) {
    Send(aService, aTry + 1);
    return;
  }
  // A look-up that fails leaves the last answer in use.
  if (!hosts.empty()) {
    entry.mHosts = std::move(hosts);
  }
  const std::vector<http::Endpoint> found = entry.mHosts;
  for (const OnHosts& it : std::exchange(entry.mWaiting, {})) {
    it(found);
  }
}

} // namespace auburnmux::standins
