#include "soak/src/SoakHost.h"

#include <csignal>
#include <nlohmann/json.hpp>
#include <utility>

namespace auburnmux::soak {

namespace {

using nlohmann::json;

/** Time from SIGTERM to SIGKILL, as both users' deployments have it. */
constexpr base::Duration kGrace = std::chrono::seconds(6);

} // namespace

SoakHost::SoakHost(http::Loop& aLoop, HostPlace aPlace)
  : mPlace(std::move(aPlace))
  , mStoreLink(aLoop, mPlace.mStoreLink, mPlace.mStore)
{
}

std::string SoakHost::Settings() const
{
  const auto address = [this](int aPort) {
    return mPlace.mAddress + ':' + std::to_string(aPort);
  };
  return json{
    { "node_name", mPlace.mName },
    { "zone", mPlace.mCentre },
    { "region", mPlace.mRegion },
    { "ip", mPlace.mAddress },
    { "zones",
      { { "zone-a", "one" }, { "zone-b", "one" }, { "zone-c", "two" } } },
    { "listen",
      { { "front", address(kFrontPort) },
        { "ready", address(kFrontPort + 1) },
        { "control", address(kFrontPort + 2) },
        { "directory", address(kDirectoryPort) } } },
    { "internal_ports", { kFrontPort + 10, kFrontPort + 20 } },
    { "seeds", mPlace.mSeeds },
    { "bounds",
      { { "grace_s", 6 }, { "max_shift", 0.15 }, { "budget_ratio", 0.2 } } },
    { "platform",
      { { "address", mPlace.mStoreLink.mAddress + ':' +
                       std::to_string(mPlace.mStoreLink.mPort.Count()) } } }
  }.dump();
}

void SoakHost::Start()
{
  const std::string file = mPlace.mDirectory + '/' + mPlace.mName;
  process::WriteText(file + ".json", Settings());
  // Children inherit the variable; one loop on one thread starts them.
  setenv("AUBURNMUX_CONFIG", (file + ".json").c_str(), 1);
  mProcess = std::make_unique<process::Process>(
    std::vector<std::string>{ AUBURNMUX_DAEMON, "--on-platform" },
    file + ".log");
  ++mStarts;
  mIsStopping = mIsKilled = mIsPaused = false;
}

void SoakHost::Stop(base::TimePoint aNow)
{
  if (!mIsStopping && !mIsKilled && !mIsPaused) {
    mIsStopping = true;
    mKillAt = aNow + kGrace;
    mProcess->Signal(SIGTERM);
  }
}

void SoakHost::Kill(base::TimePoint aNow)
{
  mIsKilled = true;
  mKillAt = aNow;
  mProcess->Signal(SIGKILL);
}

void SoakHost::Pause()
{
  if (!mIsStopping) {
    mIsPaused = true;
    mProcess->Signal(SIGSTOP);
  }
}

void SoakHost::Resume()
{
  if (mIsPaused) {
    mIsPaused = false;
    mProcess->Signal(SIGCONT);
  }
}

std::optional<int> SoakHost::Watch(base::TimePoint aNow)
{
  const auto code = mProcess->ExitCode();
  if (!code) {
    if ((mIsStopping || mIsKilled) && aNow >= mKillAt) {
      mProcess->Signal(SIGKILL);
    }
    return std::nullopt;
  }
  const bool wasTold = mIsStopping || mIsKilled;
  Start();
  return wasTold ? std::nullopt : code;
}

std::string SoakHost::ProcessName() const
{
  return mPlace.mName + '/' + std::to_string(mStarts);
}

} // namespace auburnmux::soak
