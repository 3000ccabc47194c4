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

SlotCount Bound(const UpstreamSpec& aSpec, SlotCount aLimit)
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
    const bool left = known != nullptr && known->mLeavingSign;
    entries.push_back({ it, it.mSlots, inFlight, left });
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
    if (it.mInFlight < Bound(it.mSpec, it.mLimit)) {
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

void RoundRobinPool::OnLeavingSign(TimePoint, const UpstreamId& aUpstream)
{
  if (Entry* it = Find(aUpstream)) {
    it->mLeavingSign = true;
  }
}

void RoundRobinPool::OnReadySign(TimePoint, const UpstreamId& aUpstream)
{
  if (Entry* it = Find(aUpstream)) {
    it->mLeavingSign = false;
  }
}

void RoundRobinPool::OnWaiting(TimePoint, std::uint32_t) {}

std::vector<UpstreamStatus> RoundRobinPool::Status(TimePoint) const
{
  std::vector<UpstreamStatus> status;
  for (const Entry& it : mEntries) {
    UpstreamStatus one;
    one.mId = it.mSpec.mId;
    one.mLeaving = it.IsLeaving();
    one.mInFlight = it.mInFlight;
    one.mAllowed = Bound(it.mSpec, it.mLimit);
    status.push_back(one);
  }
  return status;
}

SlotCount RoundRobinPool::FreeSlots(TimePoint) const
{
  SlotCount free;
  for (const Entry& it : mEntries) {
    const SlotCount bound = Bound(it.mSpec, it.mLimit);
    if (!it.IsLeaving() && it.mInFlight < bound) {
      free += bound - it.mInFlight;
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
