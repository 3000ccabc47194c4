#include "balancing/src/UpstreamPool.h"

#include "balancing/src/EjectionPolicy.h"
#include "balancing/src/TwoChoices.h"

#include <algorithm>
#include <cassert>

namespace auburnmux::balancing {

using internal::CostModel;
using internal::EjectionPolicy;
using internal::PickCheaperOfTwo;

using base::AttemptId;
using base::Duration;
using base::Random;
using base::SlotCount;
using base::TimePoint;
using base::UpstreamId;
using base::WorkClass;

namespace {

bool Contains(const std::vector<UpstreamId>& aList, const UpstreamId& aId)
{
  return std::find(aList.begin(), aList.end(), aId) != aList.end();
}

} // namespace

UpstreamPool::UpstreamPool(PoolSettings aSettings)
  : mSettings(aSettings)
{
}

void UpstreamPool::Configure(TimePoint aNow,
                             const std::vector<UpstreamSpec>& aSpecs)
{
  std::vector<UpstreamState> upstreams;
  upstreams.reserve(aSpecs.size());
  for (const UpstreamSpec& it : aSpecs) {
    if (UpstreamState* known = Find(it.mId)) {
      known->Update(it);
      upstreams.push_back(std::move(*known));
      continue;
    }
    upstreams.emplace_back(it, mSettings);
    // No slow start for the first configuration: its upstreams already serve
    // other hosts.
    if (mConfigured) {
      upstreams.back().BeginSlowStart(aNow);
    }
  }
  mUpstreams = std::move(upstreams);
  mConfigured = true;
  EjectionPolicy::EnforceMaxEjected(aNow, mUpstreams);
}

void UpstreamPool::SetLimit(const UpstreamId& aUpstream, SlotCount aLimit)
{
  if (UpstreamState* it = Find(aUpstream)) {
    it->SetLimit(aLimit);
  }
}

PickResult UpstreamPool::Pick(TimePoint aNow, Random& aRandom,
                              const PickRequest& aRequest)
{
  ReadmitForBacklog(aNow);
  if (const UpstreamState* probe = FindProbeTarget(aNow, aRequest)) {
    return Choice{ probe->Id(), true };
  }
  std::vector<const UpstreamState*> eligible;
  bool usable = false;
  for (const UpstreamState& it : mUpstreams) {
    if (it.IsLeaving() || it.IsEjected() || it.UsableSlots(aNow).Count() == 0 ||
        Contains(aRequest.mExclude, it.Id())) {
      continue;
    }
    usable = true;
    if (it.HasFreeSlot(aNow)) {
      eligible.push_back(&it);
    }
  }
  if (eligible.empty()) {
    return usable ? PickResult(AllBusy{}) : PickResult(NoneUsable{});
  }
  const CostModel model{ aNow, aRequest.mClass,
                         mTypicalLatency[base::ClassIndex(aRequest.mClass)] };
  const UpstreamState* best = PickCheaperOfTwo(aRandom, eligible, model);
  return Choice{ best->Id(), false };
}

// Only first attempts of idempotent requests are used as probes. Retries and
// hedges must go to an upstream that is likely to succeed.
UpstreamState* UpstreamPool::FindProbeTarget(TimePoint aNow,
                                             const PickRequest& aRequest)
{
  if (aRequest.mKind != base::WorkKind::Idempotent ||
      !aRequest.mExclude.empty()) {
    return nullptr;
  }
  for (UpstreamState& it : mUpstreams) {
    if (it.NeedsProbe(aNow)) {
      return &it;
    }
  }
  return nullptr;
}

void UpstreamPool::OnStart(TimePoint aNow, AttemptId aAttempt,
                           const UpstreamId& aUpstream, WorkClass aClass)
{
  assert(mAttempts.count(aAttempt) == 0);
  if (UpstreamState* it = Find(aUpstream)) {
    it->OnStart(aNow, aAttempt, aClass);
    mAttempts[aAttempt] = { aUpstream, it->IsEjected() };
  }
}

void UpstreamPool::OnFirstByte(TimePoint, AttemptId aAttempt)
{
  const auto attempt = mAttempts.find(aAttempt);
  if (attempt == mAttempts.end()) {
    return;
  }
  if (UpstreamState* it = Find(attempt->second.mUpstream)) {
    it->OnFirstByte(aAttempt);
  }
}

void UpstreamPool::OnSuccess(TimePoint aNow, Random& aRandom,
                             AttemptId aAttempt, Duration aLatency)
{
  const std::optional<Finished> it = Finish(aAttempt);
  if (!it) {
    return;
  }
  if (it->mProbe && it->mState->IsEjected()) {
    FinishProbe(aNow, aRandom, *it, aLatency);
    return;
  }
  Duration& typical = mTypicalLatency[base::ClassIndex(it->mClass)];
  it->mState->OnSuccess(aNow, it->mClass, aLatency, typical);
  typical = EjectionPolicy::TypicalLatency(mUpstreams, it->mClass);
  it->mState->UpdateSlowSamples(
    IsSlow(*it->mState, it->mClass, it->mState->Latency(it->mClass).Mean()));
  EjectIfUnhealthy(aNow, aRandom, *it->mState);
}

void UpstreamPool::OnFailure(TimePoint aNow, Random& aRandom,
                             AttemptId aAttempt, base::FailureKind aKind)
{
  const std::optional<Finished> it = Finish(aAttempt);
  if (!it) {
    return;
  }
  it->mState->OnFailure(aNow, aKind);
  if (it->mProbe && it->mState->IsEjected()) {
    it->mState->ProbeFailed(aNow, aRandom);
  } else {
    EjectIfUnhealthy(aNow, aRandom, *it->mState);
  }
}

void UpstreamPool::OnCancel(TimePoint aNow, Random& aRandom, AttemptId aAttempt)
{
  const std::optional<Finished> it = Finish(aAttempt);
  if (it && it->mProbe && it->mState->IsEjected()) {
    it->mState->ProbeFailed(aNow, aRandom);
  }
}

void UpstreamPool::FinishProbe(TimePoint aNow, Random& aRandom,
                               const Finished& aProbe, Duration aLatency)
{
  UpstreamState& state = *aProbe.mState;
  if (IsSlow(state, aProbe.mClass, aLatency)) {
    state.SetHealth(HealthState::Slow);
    state.ProbeFailed(aNow, aRandom);
    return;
  }
  state.Readmit(aNow);
  state.OnSuccess(aNow, aProbe.mClass, aLatency,
                  mTypicalLatency[base::ClassIndex(aProbe.mClass)]);
}

bool UpstreamPool::IsSlow(const UpstreamState& aState, WorkClass aClass,
                          Duration aLatency) const
{
  const Duration others =
    EjectionPolicy::TypicalLatency(mUpstreams, aClass, &aState);
  return others.count() > 0 &&
         static_cast<double>(aLatency.count()) >
           mSettings.mEjectLatencyRatio * static_cast<double>(others.count());
}

void UpstreamPool::EjectIfUnhealthy(TimePoint aNow, Random& aRandom,
                                    UpstreamState& aState)
{
  if (aState.IsEjected()) {
    return;
  }
  const bool slow =
    aState.ConsecutiveSlowSamples() >= mSettings.mEjectSlowSamples;
  if (slow) {
    aState.SetHealth(HealthState::Slow);
  }
  if ((slow || aState.HasTooManyFailures()) &&
      EjectionPolicy::MayEject(aNow, mUpstreams, aState, mQueueLength)) {
    aState.Eject(aNow, aRandom);
  }
}

void UpstreamPool::OnLoadReport(TimePoint aNow, const UpstreamId& aUpstream,
                                Duration aAge, double aLoad)
{
  if (UpstreamState* it = Find(aUpstream)) {
    it->OnLoadReport(aNow, aAge, aLoad);
  }
}

void UpstreamPool::OnLeavingSignal(TimePoint aNow, const UpstreamId& aUpstream)
{
  if (UpstreamState* it = Find(aUpstream)) {
    it->OnLeavingSignal(aNow);
    EjectionPolicy::EnforceMaxEjected(aNow, mUpstreams);
  }
}

void UpstreamPool::OnReadySignal(TimePoint aNow, const UpstreamId& aUpstream)
{
  if (UpstreamState* it = Find(aUpstream)) {
    it->OnReadySignal(aNow);
  }
}

void UpstreamPool::OnQueueLength(TimePoint aNow, std::uint32_t aCount)
{
  if (mQueueLength == 0) {
    mQueuedSince = aNow;
  }
  mQueueLength = aCount;
}

// Readmits a slow upstream once requests have been queued for as long as it
// takes to answer. Failing upstreams stay ejected: they add no capacity.
void UpstreamPool::ReadmitForBacklog(TimePoint aNow)
{
  if (mQueueLength == 0) {
    return;
  }
  UpstreamState* best = EjectionPolicy::BestEjected(mUpstreams);
  if (best != nullptr && best->Health() <= HealthState::Slow &&
      aNow - mQueuedSince >= best->Latency(WorkClass::Short).Mean()) {
    best->Readmit(aNow);
    mQueuedSince = aNow;
  }
}

std::vector<UpstreamStatus> UpstreamPool::Status(TimePoint aNow) const
{
  std::vector<UpstreamStatus> status;
  const Duration typical = mTypicalLatency[base::ClassIndex(WorkClass::Short)];
  for (const UpstreamState& it : mUpstreams) {
    status.push_back({ it.Id(), it.Health(), it.IsLeaving(), it.IsEjected(),
                       it.InFlight(), it.UsableSlots(aNow),
                       it.Latency(WorkClass::Short).Estimate(aNow, typical),
                       it.Cost(aNow, WorkClass::Short, typical) });
  }
  return status;
}

SlotCount UpstreamPool::FreeSlots(TimePoint aNow) const
{
  SlotCount free;
  for (const UpstreamState& it : mUpstreams) {
    const bool usable = !it.IsLeaving() && !it.IsEjected();
    if (usable && it.HasFreeSlot(aNow)) {
      free += it.UsableSlots(aNow) - it.InFlight();
    }
  }
  return free;
}

UpstreamState* UpstreamPool::Find(const UpstreamId& aUpstream)
{
  const auto it =
    std::find_if(mUpstreams.begin(), mUpstreams.end(),
                 [&](const auto& aIt) { return aIt.Id() == aUpstream; });
  return it != mUpstreams.end() ? &*it : nullptr;
}

std::optional<UpstreamPool::Finished> UpstreamPool::Finish(AttemptId aAttempt)
{
  const auto it = mAttempts.find(aAttempt);
  if (it == mAttempts.end()) {
    return std::nullopt;
  }
  const Attempt attempt = it->second;
  mAttempts.erase(it);
  UpstreamState* state = Find(attempt.mUpstream);
  if (state == nullptr) {
    return std::nullopt;
  }
  const std::optional<WorkClass> workClass = state->Finish(aAttempt);
  if (!workClass) {
    return std::nullopt;
  }
  return Finished{ state, *workClass, attempt.mProbe };
}

} // namespace auburnmux::balancing
