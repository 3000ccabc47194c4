#pragma once

#include "platform/test/support/StandInStore.h"
#include "soak/src/Schedule.h"
#include "soak/src/SoakHost.h"
#include "soak/src/SoakUpstream.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnmux::soak {

/** One run. */
struct SoakSettings
{
  std::uint64_t mSeed = 1;
  base::Duration mLength = std::chrono::seconds(40);
  std::size_t mHosts = 4;
  std::size_t mUpstreams = 9;
  double mRequestsPerSecond = 80;
  /** Second number of all addresses, 127.N.x.x, so that runs can stand beside
   * each other. */
  int mNetwork = 78;
  /** Whether the bounds in time are checked; a busy machine may break them. */
  bool mChecksTime = true;
  /** Where settings and logs of the hosts go. */
  std::string mDirectory;
};

/**
 * Runs the real daemon as processes on loopback addresses, against stand-ins of
 * the store, the upstreams and the clients, while things happen to them. The
 * ledger tells what was promised and not kept.
 */
class Soak
{
public:
  explicit Soak(SoakSettings aSettings);

  /** Plays the run. \returns whether nothing was breached */
  bool Run();
  const Ledger& Result() const { return mLedger; }
  const std::vector<Fault>& Schedule() const { return mSchedule; }

private:
  http::Endpoint At(int aThird, std::size_t aFourth, int aPort) const;
  void MakeHosts();
  void MakeUpstreams();
  void WaitUntilServing();
  void PublishVersion();
  void PutUpstream(const SoakUpstream& aUpstream, const char* aState);
  void Strike(const Fault& aFault);
  void StrikeStore(const Fault& aFault);
  void StrikeLink(standins::Link& aLink, const nlohmann::json& aFault,
                  const nlohmann::json& aEnd, base::Duration aFor);
  void DrainUpstream(SoakUpstream& aUpstream);
  void CrashUpstream(SoakUpstream& aUpstream, base::Duration aFor);
  void WatchHosts();
  void SendRequest();
  /** Some callers close their connection before they have an answer. */
  void MaybeLeave(const std::string& aId,
                  const std::shared_ptr<http::ClientExchange>& aExchange);
  void ProbeVersion();
  http::ClientRequest MakeRequest(const std::string& aId,
                                  const std::string& aPath);

  SoakSettings mSettings;
  base::Random mRandom;
  std::vector<Fault> mSchedule;
  Ledger mLedger;
  http::Loop mLoop;
  http::Client mClient{ mLoop };
  platform::StandInStore mStore;
  std::vector<std::unique_ptr<SoakHost>> mHosts;
  std::vector<std::unique_ptr<SoakUpstream>> mUpstreams;
  /** Requests whose callers are about to leave. */
  std::map<std::string, std::shared_ptr<http::ClientExchange>> mLeavers;
  int mVersion = 0;
  std::uint64_t mLastId = 0;
  int mLastUpstream = 0;
  std::size_t mOpen = 0;
};

} // namespace auburnmux::soak
