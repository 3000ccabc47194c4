#include "auburnmux/src/Session.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <random>

namespace auburnmux::tool {

namespace {

constexpr base::Duration kHostTimeout = std::chrono::seconds(2);
constexpr base::Duration kPlatformTimeout = std::chrono::seconds(2);
/** Requests of AskHosts() that run at the same time. */
constexpr std::size_t kParallelHosts = 64;

/** A tool makes a few calls in a short time, and then ends. */
objects::CallBudget ToolBudget()
{
  objects::CallRates rates;
  rates.fill({ 50, 100 });
  return objects::CallBudget(rates);
}

/** One round of asking all hosts. */
struct Round
{
  http::Loop& mLoop;
  http::Client& mClient;
  const std::vector<objects::ListedHost>& mHosts;
  const std::string& mTarget;
  std::vector<http::FetchResult> mResults;
  std::size_t mStarted = 0;
  std::size_t mEnded = 0;

  void StartNext()
  {
    if (mStarted == mHosts.size()) {
      return;
    }
    const std::size_t it = mStarted++;
    http::ClientRequest request;
    request.mEndpoint = mHosts[it].mEndpoint;
    request.mTarget = mTarget;
    request.mConnectTimeout = kHostTimeout;
    http::Fetch(mLoop, mClient, request, {}, kHostTimeout,
                [this, it](const http::FetchResult& aResult) {
                  mResults[it] = aResult;
                  if (++mEnded == mHosts.size()) {
                    mLoop.Stop();
                  }
                  StartNext();
                });
  }
};

} // namespace

Session::Session(http::Loop& aLoop, const Options& aOptions)
  : mLoop(aLoop)
  , mOptions(aOptions)
  , mHttp(aLoop)
  , mPlatform(aLoop, mHttp, aOptions.mPlatform, ToolBudget())
  , mRandom((std::uint64_t{ std::random_device{}() } << 32U) |
            std::random_device{}())
{
}

objects::GetResult Session::Get(const std::string& aName,
                                objects::CallPurpose aPurpose)
{
  return Wait<objects::GetResult>([&](const auto& aDone) {
    mPlatform.Get(aName, { aPurpose, kPlatformTimeout }, aDone);
  });
}

objects::PutResult Session::Put(const std::string& aName,
                                const std::string& aBytes,
                                const objects::WriteCondition& aCondition)
{
  return Wait<objects::PutResult>([&](const auto& aDone) {
    mPlatform.Put(aName, aBytes, aCondition,
                  { objects::CallPurpose::Publish, kPlatformTimeout }, aDone);
  });
}

objects::HostsResult Session::Hosts()
{
  std::vector<objects::ListedHost> hosts;
  for (const http::Endpoint& it : mOptions.mHosts) {
    hosts.push_back(
      { base::HostId(it.mAddress + ':' + std::to_string(it.mPort.Count())),
        it,
        {},
        false });
  }
  if (!hosts.empty()) {
    return hosts;
  }
  objects::HostsResult result =
    Wait<objects::HostsResult>([&](const auto& aDone) {
      mPlatform.ListHosts({ objects::CallPurpose::HostList, kPlatformTimeout },
                          aDone);
    });
  if (auto* list = std::get_if<std::vector<objects::ListedHost>>(&result)) {
    for (objects::ListedHost& it : *list) {
      if (it.mEndpoint.mPort.Count() == 0) {
        it.mEndpoint.mPort = mOptions.mHostPort;
      }
    }
    std::sort(list->begin(), list->end(),
              [](const auto& aLeft, const auto& aRight) {
                return aLeft.mId < aRight.mId;
              });
  }
  return result;
}

std::vector<http::FetchResult> Session::AskHosts(
  const std::vector<objects::ListedHost>& aHosts, const std::string& aTarget)
{
  if (aHosts.empty()) {
    return {};
  }
  Round round{ mLoop, mHttp, aHosts, aTarget, {} };
  round.mResults.resize(aHosts.size());
  for (std::size_t it = 0; it < kParallelHosts; ++it) {
    round.StartNext();
  }
  mLoop.Run();
  return std::move(round.mResults);
}

void Session::Pause(base::Duration aTime)
{
  mLoop.After(aTime, [this] { mLoop.Stop(); });
  mLoop.Run();
}

void Session::PauseAfterFailure(std::uint32_t aFailures)
{
  objects::Backoff backoff(std::chrono::milliseconds(50),
                           std::chrono::seconds(1));
  base::Duration delay{};
  for (std::uint32_t it = 0; it < aFailures; ++it) {
    delay = backoff.Next(mRandom);
  }
  Pause(delay);
}

template<typename Result, typename Call>
Result Session::Wait(Call aCall)
{
  std::optional<Result> result;
  aCall([&](const Result& aResult) {
    result = aResult;
    mLoop.Stop();
  });
  mLoop.Run();
  return std::move(*result);
}

} // namespace auburnmux::tool
