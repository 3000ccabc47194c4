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
      End();
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
  mServiceManager.SetExitTime(mBegin + mContext.mSettings.mDrainLimit);
  mServer.CloseAfterResponses();
  mContext.mLoop.Every(kTickInterval, [this] { OnTick(); });
}

void GracefulStop::OnTick()
{
  const base::Duration elapsed = mContext.mLoop.Now() - mBegin;
  const bool isIdle =
    mServiceManager.OpenRequests() == 0 && mServer.ActiveExchanges() == 0;
  if ((isIdle && elapsed >= mLookupLifetime + kLastRequestTimeout) ||
      elapsed >= mContext.mSettings.mDrainLimit) {
    End();
  }
}

void GracefulStop::End()
{
  base::LogInfo(
    base::LogLine("left")
      .With("requests_cut", mServiceManager.OpenRequests())
      .With("drain_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                          mContext.mLoop.Now() - mBegin)
                          .count()));
  mContext.mLoop.Stop();
}

} // namespace auburnmux::daemon
