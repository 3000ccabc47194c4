#include "quotas/src/Aggregator.h"

#include <algorithm>
#include <map>

namespace auburnmux::quotas {

Aggregator::Aggregator(StampClock& aClock)
  : mClock(aClock)
  , mClients(aClock)
  , mRequester({ Level::Root, kLease, kAheadSpacing, false }, aClock)
{
}

Aggregator::Pool* Aggregator::FindOrAdd(base::TimePoint aNow,
                                        CustomerHash aCustomer)
{
  const auto it = mPools.find(aCustomer);
  if (it != mPools.end()) {
    return &it->second;
  }
  if (mPools.size() >= kMaxCustomers) {
    return nullptr;
  }
  Pool& pool = mPools[aCustomer];
  pool.mLastUse = aNow;
  return &pool;
}

void Aggregator::OnReport(base::TimePoint aNow, const base::HostId& aFrom,
                          const Report& aReport, Outbox& aOut)
{
  RemoveIdle(aNow);
  const ClientTable::Verdict verdict = mClients.OnReport(aNow, aFrom, aReport);
  if (verdict == ClientTable::Verdict::Dropped) {
    return;
  }
  auto it = std::find_if(
    mPending.begin(), mPending.end(),
    [&](const Pending& aPending) { return aPending.mHost == aFrom; });
  if (it == mPending.end()) {
    it = mPending.insert(it, { aFrom });
    it->mSince = aNow;
  }
  it->mStamp = aReport.mStamp;
  it->mDemands = aReport.mDemands;
  if (verdict == ClientTable::Verdict::Released) {
    it->mRelease = mClock.Last();
  }
  AnswerComplete(aNow, aOut);
}

void Aggregator::OnGrant(base::TimePoint aNow, const base::HostId& aFrom,
                         const Grant& aGrant, Outbox& aOut)
{
  const auto sentAt = mRequester.OnGrant(aNow, aFrom, aGrant);
  if (!sentAt) {
    return;
  }
  if (aNow - *sentAt < kLease) {
    mStanding = aGrant.mStanding;
  }
  Denied denied;
  for (const Allotment& it : aGrant.mAllotments) {
    Pool* pool = FindOrAdd(aNow, it.mCustomer);
    if (pool == nullptr) {
      continue;
    }
    pool->mStock.Add(*sentAt + it.mLifetime, it.mTokens);
    pool->mLastUse = aNow;
    if (it.mRetryAfter.count() > 0) {
      pool->mDeniedUntil = *sentAt + std::min(it.mRetryAfter, kMaxDenial);
      denied.insert(it.mCustomer);
    }
  }
  AnswerIf(aNow, denied, aOut, [&](const Pending& aPending) {
    return aPending.mCover && aGrant.mEcho >= *aPending.mCover;
  });
  AnswerComplete(aNow, aOut);
}

void Aggregator::OnTime(base::TimePoint aNow, Outbox& aOut)
{
  mRequester.OnTime(aNow);
  AnswerIf(aNow, {}, aOut, [&](const Pending& aPending) {
    return aNow - aPending.mSince >= kMaxHold;
  });
}

bool Aggregator::IsHeld(base::TimePoint aNow, const Pending& aPending) const
{
  return aPending.mRelease &&
         !mRequester.IsSettledSince(aNow, *aPending.mRelease);
}

bool Aggregator::IsComplete(base::TimePoint aNow, const Pending& aPending)
{
  return std::all_of(aPending.mDemands.begin(), aPending.mDemands.end(),
                     [&](const Demand& aDemand) {
                       const auto pool = mPools.find(aDemand.mCustomer);
                       return pool != mPools.end() &&
                              (aNow < pool->second.mDeniedUntil ||
                               pool->second.mStock.Count(aNow) >=
                                 aDemand.mWaiting + aDemand.mAhead);
                     });
}

template<typename Predicate>
void Aggregator::AnswerIf(base::TimePoint aNow, const Denied& aDenied,
                          Outbox& aOut, Predicate aIsReady)
{
  std::vector<Pending> ready;
  for (auto it = mPending.begin(); it != mPending.end();) {
    if (!IsHeld(aNow, *it) && aIsReady(*it)) {
      ready.push_back(std::move(*it));
      it = mPending.erase(it);
    } else {
      ++it;
    }
  }
  Divide(aNow, ready, aDenied, aOut);
}

void Aggregator::AnswerComplete(base::TimePoint aNow, Outbox& aOut)
{
  // One at a time, as each answer takes tokens that others would need.
  bool isDone = false;
  while (!isDone) {
    isDone = true;
    AnswerIf(aNow, {}, aOut, [&](const Pending& aPending) {
      const bool isChosen = isDone && IsComplete(aNow, aPending);
      isDone = isDone && !isChosen;
      return isChosen;
    });
  }
}

void Aggregator::Divide(base::TimePoint aNow,
                        const std::vector<Pending>& aReady,
                        const Denied& aDenied, Outbox& aOut)
{
  struct Part
  {
    std::uint64_t mWaiting = 0;
    std::uint64_t mStock = 0;
    std::uint64_t mLeft = 0;
  };
  std::unordered_map<CustomerHash, Part> parts;
  std::vector<std::vector<Allotment>> answers(aReady.size());
  for (const Pending& it : aReady) {
    for (const Demand& demand : it.mDemands) {
      parts[demand.mCustomer].mWaiting += demand.mWaiting;
    }
  }
  for (auto& [customer, part] : parts) {
    const auto pool = mPools.find(customer);
    part.mStock = pool == mPools.end() ? 0 : pool->second.mStock.Count(aNow);
    part.mLeft = part.mStock;
  }
  for (std::size_t i = 0; i < aReady.size(); ++i) {
    for (const Demand& it : aReady[i].mDemands) {
      Part& part = parts[it.mCustomer];
      const std::uint64_t n = part.mStock >= part.mWaiting
                                ? it.mWaiting
                                : part.mStock * it.mWaiting / part.mWaiting;
      answers[i].push_back(
        { it.mCustomer, static_cast<std::uint32_t>(std::min(n, part.mLeft)) });
      part.mLeft -= answers[i].back().mTokens;
    }
  }
  // What the division left over goes to requests that wait first.
  for (const bool isAhead : { false, true }) {
    for (std::size_t i = 0; i < aReady.size(); ++i) {
      for (std::size_t j = 0; j < aReady[i].mDemands.size(); ++j) {
        const Demand& demand = aReady[i].mDemands[j];
        Part& part = parts[demand.mCustomer];
        Allotment& allotment = answers[i][j];
        const std::uint64_t wanted =
          std::uint64_t{ demand.mWaiting } + (isAhead ? demand.mAhead : 0U);
        const std::uint64_t n =
          std::min(part.mLeft,
                   wanted - std::min<std::uint64_t>(wanted, allotment.mTokens));
        allotment.mTokens += static_cast<std::uint32_t>(n);
        part.mLeft -= n;
      }
    }
  }
  for (std::size_t i = 0; i < aReady.size(); ++i) {
    Grant grant;
    grant.mLevel = Level::Aggregator;
    grant.mEcho = aReady[i].mStamp;
    grant.mStanding = mStanding;
    for (std::size_t j = 0; j < answers[i].size(); ++j) {
      Allotment& it = answers[i][j];
      const auto pool = mPools.find(it.mCustomer);
      if (pool == mPools.end()) {
        continue;
      }
      if (it.mTokens > 0) {
        it.mLifetime = pool->second.mStock.Take(it.mTokens) - aNow;
        pool->second.mRate.Add(aNow, it.mTokens);
        pool->second.mIsUsed = true;
        pool->second.mLastUse = aNow;
      }
      const bool isDenied =
        aDenied.count(it.mCustomer) > 0 || aNow < pool->second.mDeniedUntil;
      if (it.mTokens < aReady[i].mDemands[j].mWaiting && isDenied) {
        it.mRetryAfter = std::max<base::Duration>(
          pool->second.mDeniedUntil - aNow, std::chrono::milliseconds(1));
      }
      if (it.mTokens > 0 || it.mRetryAfter.count() > 0) {
        grant.mAllotments.push_back(it);
      }
    }
    grant.mStamp = mClock.Next(aNow);
    aOut.emplace_back(aReady[i].mHost, std::move(grant));
  }
}

base::TimePoint Aggregator::NextSend(base::TimePoint aNow)
{
  const HostTotals totals = mClients.Totals(aNow);
  mRequester.SetHosts(totals);
  if (totals.mAttached == 0 && mPending.empty()) {
    return base::TimePoint::max();
  }
  Need need = Need::None;
  for (const Pending& it : mPending) {
    for (const Demand& demand : it.mDemands) {
      need = std::max(need, demand.mWaiting > 0 ? Need::Urgent : Need::Ahead);
    }
  }
  if (need == Need::None) {
    for (auto& [customer, pool] : mPools) {
      const bool isShort = pool.mIsUsed && 2 * pool.mStock.Count(aNow) <
                                             pool.mRate.AheadTarget(aNow);
      need = isShort ? Need::Ahead : need;
    }
  }
  return mRequester.NextSend(need);
}

base::TimePoint Aggregator::NextTimeout() const
{
  base::TimePoint next = mRequester.NextTimeout();
  for (const Pending& it : mPending) {
    if (!it.mRelease) {
      next = std::min(next, it.mSince + kMaxHold);
    }
  }
  return next;
}

std::vector<Demand> Aggregator::MergedDemands(base::TimePoint aNow)
{
  std::map<CustomerHash, Demand> merged;
  for (const Pending& it : mPending) {
    for (const Demand& demand : it.mDemands) {
      Demand& sum = merged[demand.mCustomer];
      sum.mWaiting += demand.mWaiting;
      sum.mAhead += demand.mAhead;
      sum.mQuota = demand.mQuota ? demand.mQuota : sum.mQuota;
    }
  }
  for (auto& [customer, pool] : mPools) {
    if (std::exchange(pool.mIsUsed, false)) {
      merged[customer].mAhead += pool.mRate.AheadTarget(aNow);
    }
  }
  std::vector<Demand> demands;
  for (auto& [customer, demand] : merged) {
    const auto pool = mPools.find(customer);
    std::uint32_t stock =
      pool == mPools.end() ? 0 : pool->second.mStock.Count(aNow);
    const std::uint32_t used = std::min(stock, demand.mWaiting);
    demand.mWaiting = std::min(demand.mWaiting - used, kMaxTokens);
    stock -= used;
    demand.mAhead =
      std::min(demand.mAhead - std::min(stock, demand.mAhead), kMaxTokens);
    if ((demand.mWaiting > 0 || demand.mAhead > 0) &&
        demands.size() < kMaxDemands) {
      demand.mCustomer = customer;
      demands.push_back(demand);
    }
  }
  return demands;
}

Report Aggregator::MakeReport(base::TimePoint aNow)
{
  Report report = mRequester.MakeReport(aNow, MergedDemands(aNow));
  for (Pending& it : mPending) {
    it.mCover = it.mCover ? it.mCover : std::optional(report.mStamp);
  }
  return report;
}

void Aggregator::RemoveIdle(base::TimePoint aNow)
{
  if (aNow < mNextRemoval) {
    return;
  }
  mNextRemoval = aNow + std::chrono::seconds(1);
  for (auto it = mPools.begin(); it != mPools.end();) {
    it = aNow - it->second.mLastUse >= kIdleRetention ? mPools.erase(it)
                                                      : std::next(it);
  }
}

} // namespace auburnmux::quotas
