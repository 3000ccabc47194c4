#include "quotas/src/Leaf.h"

#include <algorithm>

namespace auburnmux::quotas {

void Leaf::SetQuotas(base::TimePoint aNow, const QuotaTable& aQuotas,
                     Actions& aOut)
{
  for (auto it = mCustomers.begin(); it != mCustomers.end();) {
    if (aQuotas.count(it->first) > 0) {
      ++it;
      continue;
    }
    for (const Waiter& waiter : it->second.mWaiters) {
      mWaiters.erase(waiter.mId);
      aOut.emplace_back(
        Admit{ waiter.mId, { it->first, base::TimePoint::max() } });
    }
    it = mCustomers.erase(it);
  }
  for (const auto& [id, quota] : aQuotas) {
    Customer& customer = mCustomers[id];
    if (customer.mQuota.mRate != quota.mRate ||
        customer.mQuota.mBurst != quota.mBurst) {
      customer.mQuota = quota;
      customer.mQuotaSince = aNow;
    }
  }
}

Decision Leaf::Take(base::TimePoint aNow, CustomerHash aCustomer)
{
  const auto it = mCustomers.find(aCustomer);
  if (it == mCustomers.end()) {
    return Taken{ { aCustomer, base::TimePoint::max() } };
  }
  Customer& customer = it->second;
  customer.mRate.Add(aNow, 1);
  if (customer.mStock.Count(aNow) > 0) {
    const base::TimePoint expiry = customer.mStock.Take(1);
    CheckStock(aNow, customer);
    return Taken{ { aCustomer, expiry } };
  }
  if (aNow < customer.mDeniedUntil) {
    return Refused{ customer.mDeniedUntil - aNow };
  }
  if (mWaiters.size() >= kMaxWaiters) {
    return Refused{ kUnknownRetry, RefusalReason::NoAnswer };
  }
  CheckStock(aNow, customer);
  const WaiterId id(++mLastWaiter);
  customer.mWaiters.push_back({ id, aNow + kMaxWait, std::nullopt });
  mWaiters[id] = aCustomer;
  mDeadlines.push_back({ aNow + kMaxWait, aCustomer });
  mHasUnreported = true;
  return Waiting{ id };
}

void Leaf::CheckStock(base::TimePoint aNow, Customer& aCustomer)
{
  if (2 * aCustomer.mStock.Count(aNow) < aCustomer.mRate.AheadTarget(aNow)) {
    aCustomer.mIsShort = true;
    mIsShort = true;
  }
}

void Leaf::GiveBack(base::TimePoint aNow, const Token& aToken, Actions& aOut)
{
  const auto it = mCustomers.find(aToken.mCustomer);
  // A token from before the customer had a quota has no expiry.
  if (it == mCustomers.end() || aToken.mExpiry <= aNow ||
      aToken.mExpiry == base::TimePoint::max()) {
    return;
  }
  it->second.mStock.Add(aToken.mExpiry, 1);
  ServeWaiters(aNow, it->first, it->second, aOut);
}

void Leaf::Cancel(WaiterId aWaiter)
{
  const auto it = mWaiters.find(aWaiter);
  if (it == mWaiters.end()) {
    return;
  }
  auto& waiters = mCustomers[it->second].mWaiters;
  waiters.erase(
    std::find_if(waiters.begin(), waiters.end(),
                 [&](const Waiter& aIt) { return aIt.mId == aWaiter; }));
  mWaiters.erase(it);
}

void Leaf::ServeWaiters(base::TimePoint aNow, CustomerHash aId,
                        Customer& aCustomer, Actions& aOut)
{
  while (!aCustomer.mWaiters.empty() && aCustomer.mStock.Count(aNow) > 0) {
    const WaiterId id = aCustomer.mWaiters.front().mId;
    aCustomer.mWaiters.pop_front();
    mWaiters.erase(id);
    aOut.emplace_back(Admit{ id, { aId, aCustomer.mStock.Take(1) } });
  }
}

void Leaf::RefuseReported(Customer& aCustomer, Stamp aAnswered,
                          base::Duration aRetryAfter, Actions& aOut)
{
  auto& waiters = aCustomer.mWaiters;
  while (!waiters.empty() && waiters.front().mReportedBy &&
         *waiters.front().mReportedBy <= aAnswered) {
    aOut.emplace_back(Refuse{ waiters.front().mId, { aRetryAfter } });
    mWaiters.erase(waiters.front().mId);
    waiters.pop_front();
  }
}

void Leaf::OnGrant(base::TimePoint aNow, const base::HostId& aFrom,
                   const Grant& aGrant, Actions& aOut)
{
  const auto sentAt = mRequester.OnGrant(aNow, aFrom, aGrant);
  if (!sentAt) {
    return;
  }
  if (aNow - *sentAt < kLease && aGrant.mStanding != Standing::Unknown) {
    mStanding = aGrant.mStanding;
  }
  for (const Allotment& it : aGrant.mAllotments) {
    const auto customer = mCustomers.find(it.mCustomer);
    if (customer == mCustomers.end()) {
      continue;
    }
    customer->second.mStock.Add(*sentAt + it.mLifetime, it.mTokens);
    ServeWaiters(aNow, customer->first, customer->second, aOut);
    if (it.mRetryAfter.count() > 0) {
      customer->second.mDeniedUntil =
        *sentAt + std::min(it.mRetryAfter, kMaxDenial);
      RefuseReported(customer->second, aGrant.mEcho, it.mRetryAfter, aOut);
    }
  }
  // Requests that the answer leaves open are reported again.
  mHasUnreported = !mWaiters.empty();
}

void Leaf::OnTime(base::TimePoint aNow, Actions& aOut)
{
  mRequester.OnTime(aNow);
  while (!mDeadlines.empty() && mDeadlines.front().mTime <= aNow) {
    const auto it = mCustomers.find(mDeadlines.front().mCustomer);
    mDeadlines.pop_front();
    if (it == mCustomers.end()) {
      continue;
    }
    auto& waiters = it->second.mWaiters;
    while (!waiters.empty() && waiters.front().mDeadline <= aNow) {
      aOut.emplace_back(Refuse{ waiters.front().mId,
                                { kUnknownRetry, RefusalReason::NoAnswer } });
      mWaiters.erase(waiters.front().mId);
      waiters.pop_front();
    }
  }
}

base::TimePoint Leaf::NextSend() const
{
  if (mCustomers.empty()) {
    return base::TimePoint::max();
  }
  const bool isUrgent = mHasUnreported && !mWaiters.empty();
  return mRequester.NextSend(isUrgent   ? Need::Urgent
                             : mIsShort ? Need::Ahead
                                        : Need::None);
}

base::TimePoint Leaf::NextTimeout() const
{
  const base::TimePoint next = mRequester.NextTimeout();
  return mDeadlines.empty() ? next : std::min(next, mDeadlines.front().mTime);
}

Report Leaf::MakeReport(base::TimePoint aNow)
{
  std::vector<Demand> demands;
  const bool isShort = std::exchange(mIsShort, false);
  std::vector<Customer*> reported;
  for (auto& [id, it] : mCustomers) {
    if ((it.mWaiters.empty() && !it.mIsShort) ||
        demands.size() >= kMaxDemands) {
      mIsShort = mIsShort || (isShort && it.mIsShort);
      continue;
    }
    Demand demand{ id };
    demand.mWaiting = static_cast<std::uint32_t>(it.mWaiters.size());
    if (std::exchange(it.mIsShort, false)) {
      const std::uint32_t target = it.mRate.AheadTarget(aNow);
      demand.mAhead = target - std::min(target, it.mStock.Count(aNow));
    }
    if (aNow - it.mQuotaSince < kQuotaSpread) {
      demand.mQuota = it.mQuota;
    }
    reported.push_back(&it);
    demands.push_back(demand);
  }
  mHasUnreported = false;
  Report report = mRequester.MakeReport(aNow, std::move(demands));
  for (Customer* customer : reported) {
    for (Waiter& it : customer->mWaiters) {
      it.mReportedBy =
        it.mReportedBy ? it.mReportedBy : std::optional(report.mStamp);
    }
  }
  return report;
}

} // namespace auburnmux::quotas
