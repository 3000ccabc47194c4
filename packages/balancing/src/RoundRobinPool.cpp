#include "balancing/src/RoundRobinPool.h"

#include <algorithm>

namespace auburnmux::balancing {

using base::AttemptId;
using base::Duration;
using base::Random;
using base::SlotCount;
using base::TimePoint;
using base::UpstreamId;
using base::WorkClass;

namespace {

SlotCount UsableSlots(const UpstreamSpec& aSpec, SlotCount aLimit)
{
  const std::uint32_t slots = std::min(aSpec.mSlots, aLimit).Count();
  return SlotCount(std::min(slots, aSpec.mConnections.Count()));
}

} // namespace

void RoundRobinPool::Configure(TimePoint,
                               const std::vector<UpstreamSpec>& aSpecs)
{
  std::vector<Entry> entries;
  for (const UpstreamSpec& it : aSpecs) {
    const Entry* known = Find(it.mId);
    const SlotCount inFlight =
      known != nullptr ? known->mInFlight : SlotCount();
    const bool announcedLeaving = known != nullptr && known->mAnnouncedLeaving;
    entries.push_back({ it, it.mSlots, inFlight, announcedLeaving });
  }
  mEntries = std::move(entries);
}

void RoundRobinPool::SetLimit(const UpstreamId& aUpstream, SlotCount aLimit)
{
  if (Entry* it = Find(aUpstream)) {
    it->mLimit = aLimit;
  }
}

PickResult RoundRobinPool::Pick(TimePoint, Random&, const PickRequest& aRequest)
{
  bool usable = false;
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    const std::size_t at = (mNext + i) % mEntries.size();
    const Entry& it = mEntries[at];
    const bool excluded =
      std::find(aRequest.mExclude.begin(), aRequest.mExclude.end(),
                it.mSpec.mId) != aRequest.mExclude.end();
    if (excluded || it.IsLeaving()) {
      continue;
    }
    usable = true;
    if (it.mInFlight < UsableSlots(it.mSpec, it.mLimit)) {
      mNext = at + 1;
      return Choice{ it.mSpec.mId, false };
    }
  }
  return usable ? PickResult(AllBusy{}) : PickResult(NoneUsable{});
}

void RoundRobinPool::OnStart(TimePoint, AttemptId aAttempt,
                             const UpstreamId& aUpstream, WorkClass)
{
  if (Entry* it = Find(aUpstream)) {
    it->mInFlight += SlotCount(1);
    mAttempts[aAttempt] = aUpstream;
  }
}

void RoundRobinPool::OnFirstByte(TimePoint, AttemptId) {}

void RoundRobinPool::OnSuccess(TimePoint, Random&, AttemptId aAttempt, Duration)
{
  Release(aAttempt);
}

void RoundRobinPool::OnFailure(TimePoint, Random&, AttemptId aAttempt,
                               base::FailureKind)
{
  Release(aAttempt);
}

void RoundRobinPool::OnCancel(TimePoint, Random&, AttemptId aAttempt)
{
  Release(aAttempt);
}

void RoundRobinPool::OnLoadReport(TimePoint, const UpstreamId&, Duration,
                                  double)
{
}

void RoundRobinPool::OnLeavingSignal(TimePoint, const UpstreamId& aUpstream)
{
  if (Entry* it = Find(aUpstream)) {
    it->mAnnouncedLeaving = true;
  }
}

void RoundRobinPool::OnReadySignal(TimePoint, const UpstreamId& aUpstream)
{
  if (Entry* it = Find(aUpstream)) {
    it->mAnnouncedLeaving = false;
  }
}

void RoundRobinPool::OnQueueLength(TimePoint, std::uint32_t) {}

std::vector<UpstreamStatus> RoundRobinPool::Status(TimePoint) const
{
  std::vector<UpstreamStatus> status;
  for (const Entry& it : mEntries) {
    UpstreamStatus upstream;
    upstream.mId = it.mSpec.mId;
    upstream.mLeaving = it.IsLeaving();
    upstream.mInFlight = it.mInFlight;
    upstream.mUsableSlots = UsableSlots(it.mSpec, it.mLimit);
    status.push_back(upstream);
  }
  return status;
}

SlotCount RoundRobinPool::FreeSlots(TimePoint) const
{
  SlotCount free;
  for (const Entry& it : mEntries) {
    const SlotCount slots = UsableSlots(it.mSpec, it.mLimit);
    if (!it.IsLeaving() && it.mInFlight < slots) {
      free += slots - it.mInFlight;
    }
  }
  return free;
}

RoundRobinPool::Entry* RoundRobinPool::Find(const UpstreamId& aUpstream)
{
  const auto it =
    std::find_if(mEntries.begin(), mEntries.end(),
                 [&](const Entry& aIt) { return aIt.mSpec.mId == aUpstream; });
  return it != mEntries.end() ? &*it : nullptr;
}

void RoundRobinPool::Release(AttemptId aAttempt)
{
  const auto attempt = mAttempts.find(aAttempt);
  if (attempt == mAttempts.end()) {
    return;
  }
  Entry* it = Find(attempt->second);
  if (it != nullptr && it->mInFlight.Count() > 0) {
    it->mInFlight -= SlotCount(1);
  }
  mAttempts.erase(attempt);
}

} // namespace auburnmux::balancing
