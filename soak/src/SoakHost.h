#pragma once

#include "http/Http.h"
#include "standins/src/Link.h"
#include "support/Process.h"

#include <memory>
#include <string>
#include <vector>

namespace auburnmux::soak {

/** What a host of the soak is told. */
struct HostPlace
{
  std::string mName;
  std::string mAddress;
  std::string mCentre;
  std::string mRegion;
  /** Where the link to the store listens, and where it leads. */
  http::Endpoint mStoreLink;
  http::Endpoint mStore;
  /** Control addresses of hosts to ask first. */
  std::vector<std::string> mSeeds;
  std::string mDirectory;
};

/** A host: the daemon as a process of its own, behind a link to the store. */
class SoakHost
{
public:
  static constexpr std::uint16_t kFrontPort = 21000;
  static constexpr std::uint16_t kDirectoryPort = 21003;

  SoakHost(http::Loop& aLoop, HostPlace aPlace);

  void Start();
  /** Asks it to stop in order; it is started again by Watch(). */
  void Stop(base::TimePoint aNow);
  void Kill(base::TimePoint aNow);
  /** Stands still until Resume(). */
  void Pause();
  void Resume();

  /** Starts it again once it has ended as told. \returns the exit code of an
   * end that it was not told to */
  std::optional<int> Watch(base::TimePoint aNow);

  /** \returns a name for this start of the host. */
  std::string ProcessName() const;
  bool IsStopping() const { return mIsStopping; }
  bool IsPaused() const { return mIsPaused; }
  const HostPlace& Place() const { return mPlace; }
  http::Endpoint Front() const { return At(kFrontPort); }
  http::Endpoint Directory() const { return At(kDirectoryPort); }
  standins::Link& StoreLink() { return mStoreLink; }

private:
  http::Endpoint At(std::uint16_t aPort) const
  {
    return { mPlace.mAddress, base::PortNumber(aPort) };
  }
  std::string Settings() const;

  HostPlace mPlace;
  standins::Link mStoreLink;
  std::unique_ptr<process::Process> mProcess;
  int mStarts = 0;
  bool mIsStopping = false;
  bool mIsKilled = false;
  bool mIsPaused = false;
  base::TimePoint mKillAt;
};

} // namespace auburnmux::soak
