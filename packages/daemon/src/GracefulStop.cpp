#include "daemon/src/GracefulStop.h"

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>
#include <utility>

namespace auburnmux::daemon {

namespace {

constexpr base::Duration kTickInterval = std::chrono::milliseconds(50);

// Extra time, after the last cached look-up has expired, for requests that were
// sent just before.
constexpr base::Duration kLastRequestTimeout = std::chrono::milliseconds(500);

// Time for the last responses to reach their callers.
constexpr base::Duration kDeliveryTime = std::chrono::milliseconds(200);

} // namespace

GracefulStop::GracefulStop(const DaemonContext& aContext,
                           cluster::ClusterNode& aCluster,
                           ServiceManager& aServiceManager,
                           http::Server& aServer,
                           std::function<void()> aOnLeaving)
  : mContext(aContext)
  , mCluster(aCluster)
  , mServiceManager(aServiceManager)
  , mServer(aServer)
  , mOnLeaving(std::move(aOnLeaving))
{
}

GracefulStop::~GracefulStop()
{
  if (mSignalFd >= 0) {
    close(mSignalFd);
  }
}

void GracefulStop::Start()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  mSignalFd = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  mContext.mLoop.Watch(mSignalFd, [this] { OnSignal(); });
}

void GracefulStop::OnSignal()
{
  signalfd_siginfo info{};
  while (read(mSignalFd, &info, sizeof info) == sizeof info) {
    if (std::exchange(mIsLeaving, true)) {
      EndRequests();
    } else {
      Begin();
    }
  }
}

void GracefulStop::Begin()
{
  mBegin = mContext.mLoop.Now();
  base::LogInfo(base::LogLine("leaving").With("open_requests",
                                              mServiceManager.OpenRequests()));
  mCluster.StartLeaving();
  mOnLeaving();
  mServiceManager.SetExitTime(mBegin + mContext.mSettings.mDrainLimit -
                              kDeliveryTime);
  mServer.CloseAfterResponses();
  mContext.mLoop.Every(kTickInterval, [this] { OnTick(); });
}

void GracefulStop::OnTick()
{
  const base::TimePoint now = mContext.mLoop.Now();
  const base::Duration elapsed = now - mBegin;
  if (elapsed >= mContext.mSettings.mDrainLimit - kDeliveryTime) {
    EndRequests();
  }
  const bool isDelivered = mServer.ActiveExchanges() == 0 &&
                           mServer.UnacknowledgedBytes() == base::ByteCount(0);
  const bool isIdle = mServiceManager.OpenRequests() == 0 && isDelivered;
  const bool isLate = mRequestsEndedAt &&
                      (isDelivered || now >= *mRequestsEndedAt + kDeliveryTime);
  if (isLate || (isIdle && elapsed >= mLookupLifetime + kLastRequestTimeout)) {
    End();
  }
}

void GracefulStop::EndRequests()
{
  if (!mRequestsEndedAt) {
    mRequestsEndedAt = mContext.mLoop.Now();
    mRequestsCut = mServiceManager.OpenRequests();
    mServer.RequestResponses(http::ResponseScope::All);
  }
}

void GracefulStop::End()
{
  base::LogInfo(
    base::LogLine("left")
      .With("requests_cut", mRequestsCut)
      .With("drain_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                          mContext.mLoop.Now() - mBegin)
                          .count()));
  mContext.mLoop.Stop();
}

} // namespace auburnmux::daemon
