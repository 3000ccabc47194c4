#include "balancing/test/support/Simulation.h"

#include <algorithm>
#include <cmath>

namespace auburnmux::balancing::test {

using base::Duration;
using base::SlotCount;
using base::TimePoint;
using base::UpstreamId;
using base::WorkClass;

namespace {

/** Service time in ms: a fixed part plus an exponential part, mean 20 ms. */
constexpr double kFixedServiceMs = 5;
constexpr double kMeanExponentialMs = 15;
constexpr double kStragglerFactor = 30;
constexpr std::uint32_t kConnections = 400;
constexpr Duration kReportAge = std::chrono::seconds(5);

Duration Milliseconds(double aCount)
{
  return Duration(static_cast<Duration::rep>(aCount * 1e6));
}

double Exponential(base::Random& aRandom)
{
  return -std::log(1 - aRandom.Fraction());
}

UpstreamId Name(std::uint32_t aIndex)
{
  return UpstreamId("u" + std::to_string(aIndex));
}

} // namespace

Simulation::Simulation(const SimulationSettings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.mSeed)
  , mRate(aSettings.mLoad * aSettings.mUpstreams * aSettings.mSlots * 1000 /
          ((kFixedServiceMs + kMeanExponentialMs) *
           (1 + aSettings.mStragglers * (kStragglerFactor - 1))))
{
  AddHosts();
}

void Simulation::AddHosts()
{
  std::vector<base::HostId> ids;
  for (std::uint32_t i = 0; i < mSettings.mHosts; ++i) {
    ids.emplace_back("h" + std::to_string(i));
  }
  for (const base::HostId& id : ids) {
    std::vector<UpstreamSpec> specs;
    SlotCount total;
    for (std::uint32_t i = 0; i < mSettings.mUpstreams; ++i) {
      const SlotCount share =
        mSettings.mUseShares ? limits::SlotShare::Slots(
                                 Name(i), SlotCount(mSettings.mSlots), id, ids)
                             : SlotCount(kConnections);
      specs.push_back(
        { Name(i), share, base::ConnectionCount(kConnections), false });
      total += share;
    }
    mHosts.emplace_back();
    mHosts.back().mPool = mSettings.mPool;
    mHosts.back().mSlots = total;
    VisitPool(mHosts.back().mPool,
              [&](auto& aIt) { aIt.Configure(mNow, specs); });
  }
}

void Simulation::Schedule(TimePoint aTime, std::function<void()> aAction)
{
  mEvents.push(
    { aTime, mEvents.size() + (mNextId++ << 20U), std::move(aAction) });
}

SimulationResult Simulation::Run()
{
  Schedule(mNow, [this] { Arrive(); });
  const TimePoint end = TimePoint() + mSettings.mDuration;
  while (!mEvents.empty()) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mTime;
    event.mAction();
  }
  std::sort(mLatencies.begin(), mLatencies.end());
  if (!mLatencies.empty()) {
    mResult.mMedian = mLatencies[mLatencies.size() / 2];
    mResult.mP99 = mLatencies[mLatencies.size() * 99 / 100];
  }
  mResult.mGoodput =
    static_cast<double>(mOnTime) /
    (std::chrono::duration<double>(end - TimePoint()).count() / 2);
  return mResult;
}

bool Simulation::InSecondHalf(TimePoint aTime) const
{
  return aTime >= TimePoint() + mSettings.mDuration / 2;
}

bool Simulation::IsSlowed(const UpstreamId& aId) const
{
  const auto index = std::stoul(aId.Text().substr(1));
  return index < mSettings.mSlowed && InSecondHalf(mNow);
}

limits::AdmissionLoad Simulation::LoadOf(Host& aHost) const
{
  const SlotCount free =
    VisitPool(aHost.mPool, [&](auto& aIt) { return aIt.FreeSlots(mNow); });
  return { aHost.mQueue.Size(WorkClass::Short), free, aHost.mSlots };
}

void Simulation::Arrive()
{
  if (mNow >= TimePoint() + mSettings.mDuration) {
    return;
  }
  Schedule(mNow + Milliseconds(1000 / mRate * Exponential(mRandom)),
           [this] { Arrive(); });
  const std::uint64_t id = mNextId++;
  const std::size_t at = mRandom.Below(mHosts.size());
  const bool straggler = mRandom.Fraction() < mSettings.mStragglers;
  Host& host = mHosts[at];
  host.mHedge.OnRequest(mNow);
  const auto admitted =
    host.mAdmission.Decide(WorkClass::Short, mSettings.mDeadline, LoadOf(host));
  if (std::holds_alternative<limits::Shed>(admitted)) {
    ++mResult.mRefused;
    return;
  }
  mRequests[id] = { at, mNow, mNow, {}, 0, straggler ? kStragglerFactor : 1 };
  const limits::QueueEntry entry{
    limits::QueuedId(id),       WorkClass::Short,
    limits::CallerKey(id % 50), mNow,
    mNow + mSettings.mDeadline, base::ByteCount(1000)
  };
  for (const limits::QueueEntry& it : host.mQueue.Push(entry)) {
    mRequests.erase(it.mId.Count());
    ++mResult.mRefused;
  }
  Dispatch(host);
}

void Simulation::Dispatch(Host& aHost)
{
  while (LoadOf(aHost).mFree.Count() > 0) {
    const limits::Popped popped = aHost.mQueue.Pop(
      mNow, WorkClass::Short, aHost.mAdmission.ServiceTime(WorkClass::Short));
    for (const limits::QueueEntry& it : popped.mExpired) {
      mRequests.erase(it.mId.Count());
      ++mResult.mRefused;
    }
    if (!popped.mNext) {
      break;
    }
    if (!TryStart(popped.mNext->mId.Count())) {
      aHost.mQueue.Push(*popped.mNext);
      break;
    }
  }
  VisitPool(aHost.mPool, [&](auto& aIt) {
    aIt.OnQueueLength(mNow, aHost.mQueue.Size(WorkClass::Short));
  });
}

bool Simulation::TryStart(std::uint64_t aRequest)
{
  Request& request = mRequests.at(aRequest);
  Host& host = mHosts[request.mHost];
  PickRequest pick{ WorkClass::Short, base::WorkKind::Idempotent, {} };
  for (const auto& [attempt, upstream] : request.mRunning) {
    pick.mExclude.push_back(upstream);
  }
  const PickResult result = Pick(host.mPool, mNow, mRandom, pick);
  const auto* choice = std::get_if<Choice>(&result);
  if (choice == nullptr) {
    return false;
  }
  const base::AttemptId attempt(mNextId++);
  const bool slowed = IsSlowed(choice->mUpstream);
  const double part =
    kFixedServiceMs + kMeanExponentialMs * Exponential(mRandom);
  const Duration time =
    Milliseconds(part * request.mWork * (slowed ? mSettings.mSlowFactor : 1));
  VisitPool(host.mPool, [&](auto& aIt) {
    aIt.OnStart(mNow, attempt, choice->mUpstream, WorkClass::Short);
    aIt.OnLoadReport(mNow, choice->mUpstream, kReportAge, mSettings.mLoad);
  });
  request.mRunning[attempt] = choice->mUpstream;
  ++mResult.mStarted;
  mResult.mAttemptsAtSlowed += slowed ? 1 : 0;
  mWork[attempt] = { aRequest, mNow, time };
  Serve(choice->mUpstream, attempt);
  const auto delay = host.mHedge.Delay(WorkClass::Short);
  if (request.mAttempts++ == 0) {
    request.mStart = mNow;
    if (mSettings.mHedging && delay) {
      Schedule(mNow + *delay, [=] { Hedge(aRequest); });
    }
  }
  return true;
}

void Simulation::Serve(const UpstreamId& aId, base::AttemptId aAttempt)
{
  Upstream& upstream = mUpstreams[aId];
  if (upstream.mRunning.size() >= mSettings.mSlots) {
    ++mResult.mQueuedAtUpstream;
    upstream.mWaiting.push_back(aAttempt);
    return;
  }
  upstream.mRunning.insert(aAttempt);
  const Work work = mWork.at(aAttempt);
  Schedule(mNow + work.mTime, [=] {
    if (Release(aId, aAttempt)) {
      Finish(work.mRequest, aAttempt, work.mSent);
    }
  });
}

// Frees the slot of a finished or cancelled attempt: upstreams support
// cancellation.
bool Simulation::Release(const UpstreamId& aId, base::AttemptId aAttempt)
{
  Upstream& upstream = mUpstreams[aId];
  mWork.erase(aAttempt);
  if (upstream.mRunning.erase(aAttempt) == 0) {
    return false;
  }
  while (!upstream.mWaiting.empty()) {
    const base::AttemptId next = upstream.mWaiting.front();
    upstream.mWaiting.pop_front();
    if (mWork.count(next) != 0) {
      Serve(aId, next);
      break;
    }
  }
  return true;
}

void Simulation::Hedge(std::uint64_t aRequest)
{
  const auto it = mRequests.find(aRequest);
  if (it == mRequests.end()) {
    return;
  }
  Host& host = mHosts[it->second.mHost];
  const limits::AdmissionLoad load = LoadOf(host);
  const bool saturated = load.mWaiting > 0 || load.mFree.Count() == 0;
  const TimePoint deadline = it->second.mArrival + mSettings.mDeadline;
  const retries::HedgeContext context{
    WorkClass::Short, base::WorkKind::Idempotent, it->second.mAttempts, false,
    saturated,        mNow - it->second.mStart,   deadline - mNow
  };
  if (host.mHedge.ShouldHedge(mNow, context) && TryStart(aRequest)) {
    ++mResult.mHedges;
  }
}

void Simulation::Finish(std::uint64_t aRequest, base::AttemptId aAttempt,
                        TimePoint aSent)
{
  const auto it = mRequests.find(aRequest);
  if (it == mRequests.end()) {
    return;
  }
  const Request request = it->second;
  mRequests.erase(it);
  Host& host = mHosts[request.mHost];
  VisitPool(host.mPool, [&](auto& aIt) {
    aIt.OnSuccess(mNow, mRandom, aAttempt, mNow - aSent);
    for (const auto& [attempt, upstream] : request.mRunning) {
      aIt.OnCancel(mNow, mRandom, attempt);
    }
  });
  for (const auto& [attempt, upstream] : request.mRunning) {
    Release(upstream, attempt);
  }
  host.mAdmission.OnServed(WorkClass::Short, mNow - aSent);
  host.mHedge.OnLatency(WorkClass::Short, mNow - request.mStart);
  if (InSecondHalf(request.mArrival)) {
    const Duration latency = mNow - request.mArrival;
    mLatencies.push_back(static_cast<double>(latency.count()) / 1e6);
    (latency <= mSettings.mDeadline ? mOnTime : mResult.mLate) += 1;
  }
  Dispatch(host);
}

} // namespace auburnmux::balancing::test
