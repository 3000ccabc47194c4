#include "entry/src/HealthChecks.h"

#include <algorithm>
#include <utility>

namespace auburnmux::entry {

namespace {

constexpr base::Duration kCheckTimeout = std::chrono::seconds(1);

/** The response of a health check. */
struct CheckResult
{
  /** Unset if there was none in time. */
  std::optional<http::ResponseHead> mHead;
  bool mIsConnectRefused = false;
};

/** Reports the head of the response; the body is not needed. */
class HeadObserver final : public http::ResponseObserver
{
public:
  using Done = std::function<void(const CheckResult&)>;

  HeadObserver(http::Loop& aLoop, Done aDone)
    : mLoop(aLoop)
    , mDone(std::move(aDone))
  {
  }
  ~HeadObserver() override { mLoop.Cancel(mTimer); }
  HeadObserver(const HeadObserver&) = delete;
  HeadObserver& operator=(const HeadObserver&) = delete;

  void Start(const std::shared_ptr<http::ClientExchange>& aExchange)
  {
    mExchange = aExchange;
    mTimer = mLoop.After(kCheckTimeout, [this] { Finish({}); });
  }

  void OnHead(const http::ResponseHead& aHead) override { Finish({ aHead }); }
  void OnBody(std::string_view /*aPart*/) override {}
  void OnEnd() override {}
  void OnFailure(const http::Failure& aFailure) override
  {
    Finish(
      { std::nullopt, aFailure.mKind == http::FailureKind::ConnectRefused });
  }

private:
  void Finish(const CheckResult& aResult)
  {
    if (const Done done = std::exchange(mDone, nullptr)) {
      mLoop.Cancel(mTimer);
      mLoop.Post(
        [exchange = mExchange] { // not from within its own event handler
          if (const auto it = exchange.lock()) {
            it->Cancel();
          }
        });
      done(aResult);
    }
  }

  http::Loop& mLoop;
  Done mDone;
  std::weak_ptr<http::ClientExchange> mExchange;
  http::Loop::TimerId mTimer;
};

} // namespace

HealthChecks::HealthChecks(Services& aServices)
  : mServices(aServices)
{
}

void HealthChecks::OnTick()
{
  for (const base::UpstreamId& it :
       mServices.mPlacement.DueHealthChecks(mServices.mLoop.Now())) {
    Check(it);
  }
}

void HealthChecks::Check(const base::UpstreamId& aUpstream)
{
  const auto endpoint = mServices.mEndpoints.find(aUpstream);
  const auto service = mServices.mPlacement.ServiceOf(aUpstream);
  if (endpoint == mServices.mEndpoints.end() || !service) {
    return;
  }
  http::ClientRequest request;
  request.mEndpoint = endpoint->second;
  request.mTarget = mServices.mRoutes.Policy(*service).mHealthPath;
  request.mNeedsFreshConnection = true;
  request.mConnectTimeout = kCheckTimeout;
  const auto observer = std::make_shared<HeadObserver>(
    mServices.mLoop, [this, aUpstream, sentAt = mServices.mLoop.Now()](
                       const CheckResult& aResult) {
      if (aResult.mIsConnectRefused) {
        mServices.mCrashes.OnConnectRefused(aUpstream);
      }
      OnChecked(aUpstream, sentAt, aResult.mHead);
    });
  observer->Start(mServices.mClient.Send(request, observer));
}

void HealthChecks::OnChecked(const base::UpstreamId& aUpstream,
                             base::TimePoint aSentAt,
                             const std::optional<http::ResponseHead>& aHead)
{
  constexpr int kHealthy = 200;
  HealthFields fields =
    aHead ? mServices.mTranslator.ReadHealth(*aHead) : HealthFields();
  const bool isOwn = fields.mUpstream == aUpstream;
  if (!isOwn) {
    fields = HealthFields();
  }
  const bool isHealthy = isOwn && aHead && aHead->mStatus == kHealthy;
  if (fields.mIsLeaving) {
    mServices.mReportLeaving(aUpstream, aSentAt);
  }
  base::LogInfo(base::LogLine("health_checked")
                  .With("upstream", aUpstream)
                  .With("healthy", isHealthy)
                  .With("status", aHead ? aHead->mStatus : 0));
  // An upstream that was unreachable may have restarted, and be cold.
  const auto service = mServices.mPlacement.ServiceOf(aUpstream);
  const base::Duration cold =
    service ? std::max(fields.mColdRemaining,
                       mServices.mRoutes.Policy(*service).mColdTime)
            : fields.mColdRemaining;
  mServices.mPlacement.OnHealthCheck(mServices.mLoop.Now(), aUpstream,
                                     isHealthy, cold);
}

} // namespace auburnmux::entry
