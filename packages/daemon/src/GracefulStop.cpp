#include "daemon/src/GracefulStop.h"

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>
#include <utility>

namespace auburnmux::daemon {

namespace {

constexpr base::Duration kTick = std::chrono::milliseconds(50);

// Time for the last request after the last cached look-up has expired.
constexpr base::Duration kLastRequests = std::chrono::milliseconds(500);

} // namespace

GracefulStop::GracefulStop(const Shared& aShared,
                           cluster::ClusterNode& aCluster, Carriage& aCarriage,
                           http::Server& aServer,
                           std::function<void()> aLeaving)
  : mShared(aShared)
  , mCluster(aCluster)
  , mCarriage(aCarriage)
  , mServer(aServer)
  , mLeaving(std::move(aLeaving))
{
}

GracefulStop::~GracefulStop()
{
  if (mSignals >= 0) {
    close(mSignals);
  }
}

void GracefulStop::Start()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  mSignals = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  mShared.mLoop.Watch(mSignals, [this] { OnSignal(); });
}

void GracefulStop::OnSignal()
{
  signalfd_siginfo info{};
  while (read(mSignals, &info, sizeof info) == sizeof info) {
    if (std::exchange(mIsLeaving, true)) {
      End();
    } else {
      Begin();
    }
  }
}

void GracefulStop::Begin()
{
  mBegin = mShared.mLoop.Now();
  base::LogInfo(
    base::LogLine("leaving").With("open_requests", mCarriage.OpenRequests()));
  mCluster.StartLeaving();
  mLeaving();
  mServer.CloseAfterResponses();
  mShared.mLoop.Every(kTick, [this] { OnTick(); });
}

void GracefulStop::OnTick()
{
  const base::Duration elapsed = mShared.mLoop.Now() - mBegin;
  const bool isIdle =
    mCarriage.OpenRequests() == 0 && mServer.ActiveExchanges() == 0;
  if ((isIdle && elapsed >= mLifetime + kLastRequests) ||
      elapsed >= mShared.mSettings.mDrainLimit) {
    End();
  }
}

void GracefulStop::End()
{
  base::LogInfo(
    base::LogLine("left")
      .With("requests_cut", mCarriage.OpenRequests())
      .With("drain_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                          mShared.mLoop.Now() - mBegin)
                          .count()));
  mShared.mLoop.Stop();
}

} // namespace auburnmux::daemon
