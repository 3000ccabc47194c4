#include "http/src/Fetch.h"

#include <utility>

namespace auburnmux::http {

namespace {

class FetchObserver final
  : public ResponseObserver
  , public std::enable_shared_from_this<FetchObserver>
{
public:
  FetchObserver(Loop& aLoop, FetchDone aDone)
    : mLoop(aLoop)
    , mDone(std::move(aDone))
  {
  }
  ~FetchObserver() override { StopTimer(); }
  FetchObserver(const FetchObserver&) = delete;
  FetchObserver& operator=(const FetchObserver&) = delete;

  void Start(const std::shared_ptr<ClientExchange>& aExchange,
             base::Duration aTimeout)
  {
    mExchange = aExchange;
    mTimer = mLoop.After(aTimeout, [this] {
      mTimer.reset();
      mResult.mIsTimeout = true;
      Stop(FailureKind::Reset);
    });
  }

  void OnHead(const ResponseHead& aHead) override { mResult.mHead = aHead; }

  void OnBody(std::string_view aPart) override
  {
    if (mResult.mBody.size() + aPart.size() > kMaxFetchBytes.Count()) {
      Stop(FailureKind::Malformed);
      return;
    }
    mResult.mBody += aPart;
  }

  void OnEnd() override { Report(); }

  void OnFailure(const Failure& aFailure) override
  {
    mResult.mFailure = aFailure;
    Report();
  }

private:
  void Stop(FailureKind aKind)
  {
    const auto self = shared_from_this();
    if (const auto exchange = mExchange.lock()) {
      mResult.mFailure = Failure{ aKind, exchange->MayHaveReached() };
      exchange->Cancel();
    } else {
      mResult.mFailure = Failure{ aKind, true };
    }
    Report();
  }

  void Report()
  {
    StopTimer();
    if (const FetchDone done = std::exchange(mDone, nullptr)) {
      done(mResult);
    }
  }

  void StopTimer()
  {
    if (mTimer) {
      mLoop.Cancel(*mTimer);
      mTimer.reset();
    }
  }

  Loop& mLoop;
  FetchDone mDone;
  FetchResult mResult;
  std::weak_ptr<ClientExchange> mExchange;
  std::optional<Loop::TimerId> mTimer;
};

} // namespace

std::shared_ptr<ClientExchange> Fetch(Loop& aLoop, Client& aClient,
                                      ClientRequest aRequest,
                                      const std::string& aBody,
                                      base::Duration aTimeout, FetchDone aDone)
{
  if (!aBody.empty() || aRequest.mMethod == "POST" ||
      aRequest.mMethod == "PUT") {
    aRequest.mContentLength = base::ByteCount(aBody.size());
  }
  auto observer = std::make_shared<FetchObserver>(aLoop, std::move(aDone));
  auto exchange = aClient.Send(aRequest, observer);
  observer->Start(exchange, aTimeout);
  if (!aBody.empty()) {
    exchange->SendBody(aBody);
  }
  return exchange;
}

} // namespace auburnmux::http
