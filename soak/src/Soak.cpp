#include "soak/src/Soak.h"

#include <algorithm>
#include <array>
#include <utility>

namespace auburnmux::soak {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::array kCentres = { "zone-a", "zone-b", "zone-c" };

// The third number of the addresses says what is there.
constexpr int kStoreNet = 1;
constexpr int kHostNet = 2;
constexpr int kStoreLinkNet = 3;
constexpr int kUpstreamLinkNet = 4;
constexpr int kUpstreamNet = 5;

constexpr int kStorePort = 22000;
constexpr int kUpstreamPort = 23000;

constexpr base::Duration kDeadline = milliseconds(2000);

/** How long a draining upstream still serves, and then is gone. */
constexpr base::Duration kServesOn = milliseconds(4000);

/** How long an evacuation of the soak lasts; its bound is 5 s. */
constexpr base::Duration kEvacuation = milliseconds(6500);

json Route(const std::string& aPrefix, const char* aKind)
{
  return { { "host", "soak.example" },
           { "path_prefix", aPrefix },
           { "kind", aKind },
           { "timeout_ms", 1500 },
           { "target_latency_ms", 300 },
           { "priority", 1 },
           { "service", "core" },
           { "max_attempts", 3 },
           { "session_affinity", true } };
}

std::string VersionPath(int aVersion)
{
  return "/version" + std::to_string(aVersion) + '/';
}

} // namespace

Soak::Soak(SoakSettings aSettings)
  : mSettings(std::move(aSettings))
  , mRandom(mSettings.mSeed)
  , mSchedule(DrawSchedule(mSettings.mSeed, mSettings.mLength))
  , mLedger(mSettings.mChecksTime)
  , mStore(mLoop, At(kStoreNet, 1, kStorePort))
{
  MakeUpstreams();
  PublishVersion();
  MakeHosts();
}

http::Endpoint Soak::At(int aThird, std::size_t aFourth, int aPort) const
{
  return { "127." + std::to_string(mSettings.mNetwork) + '.' +
             std::to_string(aThird) + '.' + std::to_string(aFourth),
           base::PortNumber(static_cast<std::uint16_t>(aPort)) };
}

void Soak::MakeHosts()
{
  std::vector<std::string> seeds;
  for (std::size_t i = 0; i < std::min<std::size_t>(mSettings.mHosts, 3); ++i) {
    seeds.push_back(At(kHostNet, i + 1, 0).mAddress + ':' +
                    std::to_string(SoakHost::kFrontPort + 2));
  }
  for (std::size_t i = 0; i < mSettings.mHosts; ++i) {
    HostPlace place;
    place.mName = "host-" + std::to_string(i + 1);
    place.mAddress = At(kHostNet, i + 1, 0).mAddress;
    place.mCentre = kCentres[i % kCentres.size()];
    place.mRegion = i % kCentres.size() == 2 ? "two" : "one";
    place.mStoreLink = At(kStoreLinkNet, i + 1, kStorePort);
    place.mStore = At(kStoreNet, 1, kStorePort);
    place.mSeeds = seeds;
    place.mDirectory = mSettings.mDirectory;
    mHosts.push_back(std::make_unique<SoakHost>(mLoop, place));
    mHosts.back()->Start();
  }
}

void Soak::MakeUpstreams()
{
  for (std::size_t i = 0; i < mSettings.mUpstreams; ++i) {
    const UpstreamPlace place{ kCentres[i % kCentres.size()],
                               At(kUpstreamLinkNet, i + 1, kUpstreamPort),
                               At(kUpstreamNet, i + 1, kUpstreamPort) };
    mUpstreams.push_back(std::make_unique<SoakUpstream>(
      mLoop, mLedger, base::Random(mRandom.Next()), place,
      "i-" + std::to_string(++mLastUpstream)));
    PutUpstream(*mUpstreams.back(), "ready");
  }
}

void Soak::PutUpstream(const SoakUpstream& aUpstream, const char* aState)
{
  const http::Endpoint& at = aUpstream.Place().mPublic;
  mStore.Put(
    "servers", aUpstream.Id(),
    { { "service", "core" },
      { "address", at.mAddress + ':' + std::to_string(at.mPort.Count()) },
      { "zone", aUpstream.Place().mCentre },
      { "version", "v1" },
      { "slots", 6 },
      { "state", aState },
      { "cold_remaining_ms", 0 },
      { "sequence", 1 } });
}

void Soak::PublishVersion()
{
  ++mVersion;
  json routes = { { "r-check", Route("/check/", "idempotent") },
                  { "r-issue", Route("/issue/", "non_idempotent") } };
  for (int i = 1; i <= mVersion; ++i) {
    routes["r-" + std::to_string(i)] = Route(VersionPath(i), "idempotent");
  }
  mStore.Put("config", "main",
             { { "version", 10 * mVersion },
               { "routes", routes },
               { "services",
                 { { "core",
                     { { "health_path", "/healthz" },
                       { "max_connections", 400 },
                       { "cold_start_s", 1.0 },
                       { "cold_per_s", 100.0 } } } } },
               { "limits", { { "max_header_bytes", 16384 } } } });
  mLedger.OnVersion(mLoop.Now(), mVersion);
}

http::ClientRequest Soak::MakeRequest(const std::string& aId,
                                      const std::string& aPath)
{
  const SoakHost& host = *mHosts[mRandom.Below(mHosts.size())];
  http::ClientRequest request{ host.Front(), "GET", aPath };
  request.mHeaders = { { "host", "soak.example" },
                       { "request-id", aId },
                       { "affinity-key", std::to_string(mRandom.Below(40)) },
                       { "deadline-ms", "2000" } };
  return request;
}

void Soak::SendRequest()
{
  const std::string id =
    "s" + std::to_string(mSettings.mSeed) + '-' + std::to_string(++mLastId);
  const bool mayRepeat = mRandom.Below(10) < 6;
  http::ClientRequest request =
    MakeRequest(id, mayRepeat ? "/check/1" : "/issue/1");
  request.mMethod = mayRepeat ? "GET" : "POST";
  const auto host =
    std::find_if(mHosts.begin(), mHosts.end(), [&](const auto& aHost) {
      return aHost->Front() == request.mEndpoint;
    });
  ++mOpen;
  const auto exchange =
    http::Fetch(mLoop, mClient, request, mayRepeat ? "" : "issue " + id,
                kDeadline + milliseconds(500),
                [this, id, mayRepeat,
                 host = host->get()](const http::FetchResult& aResult) {
                  --mOpen;
                  mLeavers.erase(id);
                  Answer answer;
                  answer.mId = id;
                  answer.mMayRepeat = mayRepeat;
                  answer.mStatus = aResult.mFailure ? 0 : aResult.mHead.mStatus;
                  answer.mIsOwn =
                    aResult.mBody == BodyFor(id) &&
                    aResult.mHead.mHeaders.Find("response-signature") ==
                      std::string_view("sig-" + id);
                  answer.mWasHostStopping = host->IsStopping();
                  mLedger.OnAnswer(mLoop.Now(), answer);
                });
  MaybeLeave(id, exchange);
}

void Soak::MaybeLeave(const std::string& aId,
                      const std::shared_ptr<http::ClientExchange>& aExchange)
{
  constexpr int kLeavingPercent = 15;
  constexpr int kLongestStayMs = 400;
  if (mRandom.Below(100) >= kLeavingPercent) {
    return;
  }
  mLeavers[aId] = aExchange;
  mLoop.After(milliseconds(mRandom.Below(kLongestStayMs)), [this, aId] {
    const auto it = mLeavers.find(aId);
    if (it != mLeavers.end()) { // otherwise it has been answered
      it->second->Cancel();
      mLeavers.erase(it);
      --mOpen;
      mLedger.OnCallerLeft(mLoop.Now(), aId);
    }
  });
}

void Soak::ProbeVersion()
{
  const int version =
    1 + static_cast<int>(mRandom.Below(static_cast<std::uint64_t>(mVersion)));
  const std::string id = "p" + std::to_string(++mLastId);
  const http::ClientRequest request = MakeRequest(id, VersionPath(version));
  const auto host =
    std::find_if(mHosts.begin(), mHosts.end(), [&](const auto& aHost) {
      return aHost->Front() == request.mEndpoint;
    });
  const std::string process = (*host)->ProcessName();
  const base::TimePoint sent = mLoop.Now();
  ++mOpen;
  http::Fetch(mLoop, mClient, request, "", kDeadline,
              [this, process, version, sent](const http::FetchResult& aResult) {
                --mOpen;
                constexpr int kUnknown = 404;
                constexpr int kOk = 200;
                const int status = aResult.mFailure ? 0 : aResult.mHead.mStatus;
                if (status == kUnknown || status == kOk) {
                  mLedger.OnVersionProbe(sent, process, version, status == kOk);
                }
              });
}

void Soak::WatchHosts()
{
  for (const auto& it : mHosts) {
    const std::string process = it->ProcessName();
    if (const auto code = it->Watch(mLoop.Now())) {
      mLedger.OnUnexpectedEnd(process, *code);
    }
  }
}

void Soak::StrikeLink(standins::Link& aLink, const json& aFault,
                      const json& aEnd, base::Duration aFor)
{
  aLink.Configure(aFault);
  mLedger.OnLinkFault(mLoop.Now() + aFor);
  mLoop.After(aFor, [&aLink, aEnd] { aLink.Configure(aEnd); });
}

void Soak::DrainUpstream(SoakUpstream& aUpstream)
{
  if (!aUpstream.IsUp()) {
    return;
  }
  PutUpstream(aUpstream, "draining");
  mLedger.OnLeaving(mLoop.Now(), aUpstream.Id());
  mLoop.After(kServesOn, [this, &aUpstream, id = aUpstream.Id()] {
    mStore.Remove("servers", id);
    if (aUpstream.Id() == id) {
      aUpstream.Restart("i-" + std::to_string(++mLastUpstream));
      PutUpstream(aUpstream, "ready");
    }
  });
}

void Soak::CrashUpstream(SoakUpstream& aUpstream, base::Duration aFor)
{
  aUpstream.Crash();
  const std::string id = aUpstream.Id();
  mLoop.After(aFor, [this, &aUpstream, id] {
    if (aUpstream.Id() == id) {
      mStore.Remove("servers", id);
      aUpstream.Restart("i-" + std::to_string(++mLastUpstream));
      PutUpstream(aUpstream, "ready");
    }
  });
}

void Soak::StrikeStore(const Fault& aFault)
{
  if (aFault.mKind == FaultKind::StoreDown) {
    mStore.SetDown(true);
    mLoop.After(aFault.mFor, [this] { mStore.SetDown(false); });
  } else if (aFault.mKind == FaultKind::StoreDeaf) {
    mStore.SetWatchesSilent(true);
    mLoop.After(aFault.mFor, [this] {
      mStore.SetWatchesSilent(false);
      mStore.Compact();
      mStore.CutWatches();
    });
  } else {
    mStore.Compact();
    mStore.CutWatches();
  }
}

void Soak::Strike(const Fault& aFault)
{
  const base::TimePoint now = mLoop.Now();
  SoakHost& host = *mHosts[aFault.mTarget % mHosts.size()];
  SoakUpstream& upstream = *mUpstreams[aFault.mTarget % mUpstreams.size()];
  if (!IsPlanned(aFault.mKind)) {
    mLedger.OnDisturbance(now + aFault.mFor);
  }
  switch (aFault.mKind) {
    case FaultKind::StopHost:
      host.Stop(now);
      break;
    case FaultKind::PublishVersion:
      PublishVersion();
      break;
    case FaultKind::DrainUpstream:
      DrainUpstream(upstream);
      break;
    case FaultKind::Evacuate: {
      const std::string centre = upstream.Place().mCentre;
      mStore.Put("evacuations", centre, json::object());
      mLedger.OnEvacuation(now, centre, true);
      mLoop.After(kEvacuation, [this, centre] {
        mLedger.OnEvacuation(mLoop.Now(), centre, false);
        mStore.Remove("evacuations", centre);
      });
      break;
    }
    case FaultKind::KillHost:
      host.Kill(now);
      break;
    case FaultKind::PauseHost:
      host.Pause();
      mLoop.After(aFault.mFor, [&host] { host.Resume(); });
      break;
    case FaultKind::StoreDown:
    case FaultKind::StoreDeaf:
    case FaultKind::StoreForgets:
      StrikeStore(aFault);
      break;
    case FaultKind::CutHostFromStore:
      StrikeLink(host.StoreLink(), { { "cut", true } }, { { "cut", false } },
                 aFault.mFor);
      break;
    case FaultKind::SilenceStoreConnections:
      for (const auto& it : mHosts) {
        it->StoreLink().SilenceConnections();
      }
      break;
    case FaultKind::FreezeUpstreamLink:
      StrikeLink(upstream.Link(), { { "frozen", true } },
                 { { "frozen", false } }, aFault.mFor);
      break;
    case FaultKind::DelayUpstreamLink:
      StrikeLink(upstream.Link(), { { "delay_ms", 60 } }, { { "delay_ms", 0 } },
                 aFault.mFor);
      break;
    case FaultKind::OneWayUpstreamLink:
      StrikeLink(upstream.Link(), { { "one_way", "forward" } },
                 { { "one_way", "both" } }, aFault.mFor);
      break;
    case FaultKind::CrashUpstream:
      CrashUpstream(upstream, aFault.mFor);
      break;
    case FaultKind::LoseResponses:
      upstream.LoseResponses(now + aFault.mFor);
      break;
    case FaultKind::ShedRequests:
      upstream.Shed(now + aFault.mFor);
      break;
  }
}

void Soak::WaitUntilServing()
{
  constexpr base::Duration kLongest = std::chrono::seconds(20);
  const base::TimePoint end = mLoop.Now() + kLongest;
  std::size_t serving = 0;
  bool isAsking = false;
  while (serving < mHosts.size() && mLoop.Now() < end) {
    if (!isAsking) {
      isAsking = true;
      http::ClientRequest request =
        MakeRequest("w" + std::to_string(++mLastId), "/check/1");
      request.mEndpoint = mHosts[serving]->Front();
      http::Fetch(mLoop, mClient, request, "", kDeadline,
                  [&](const http::FetchResult& aResult) {
                    isAsking = false;
                    serving += aResult.IsOk() ? 1 : 0;
                  });
    }
    mLoop.RunOnce();
  }
}

bool Soak::Run()
{
  const auto tick = mLoop.Every(milliseconds(5), [] {});
  WaitUntilServing();
  const base::TimePoint start = mLoop.Now();
  for (const Fault& it : mSchedule) {
    mLoop.After(it.mAt, [this, it] { Strike(it); });
  }
  const auto period = std::chrono::duration_cast<base::Duration>(
    std::chrono::duration<double>(1 / mSettings.mRequestsPerSecond));
  const auto load = mLoop.Every(period, [this] { SendRequest(); });
  const auto probe = mLoop.Every(milliseconds(50), [this] { ProbeVersion(); });
  mLoop.Every(milliseconds(20), [this] { WatchHosts(); });
  while (mLoop.Now() < start + mSettings.mLength) {
    mLoop.RunOnce();
  }
  mLoop.Cancel(load);
  mLoop.Cancel(probe);
  while (mOpen > 0) {
    mLoop.RunOnce();
  }
  mLoop.Cancel(tick);
  return mLedger.Breaches().empty();
}

} // namespace auburnmux::soak
