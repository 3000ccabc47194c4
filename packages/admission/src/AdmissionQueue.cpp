#include "admission/src/AdmissionQueue.h"

#include <algorithm>
#include <cmath>

namespace auburnmux::admission {

namespace {

using Seconds = std::chrono::duration<double>;

/** Averaging time of the rate at which overdue requests are sent. */
constexpr Seconds kAveragingTime{ 1 };

/** Overdue requests that are never in excess, as their rate isn't known before
 * some have been sent. */
constexpr std::size_t kMinOverdue = 4;

/** Part of the requests tried together, as one over this, that may be of one
 * customer while others wait. */
constexpr std::size_t kMaxCustomerShare = 4;

} // namespace

void AdmissionQueue::Add(const QueuedRequest& aRequest)
{
  mEntries[aRequest.mTicket] = { aRequest };
  mOnTime.Add(aRequest);
  mBySendTime.insert({ aRequest.mSendBy, aRequest.mTicket.Count() });
}

void AdmissionQueue::Remove(Ticket aTicket)
{
  const auto it = mEntries.find(aTicket);
  if (it == mEntries.end()) {
    return;
  }
  const QueuedRequest& request = it->second.mRequest;
  (it->second.mIsOverdue ? mOverdue : mOnTime).Remove(request);
  mBySendTime.erase({ request.mSendBy, aTicket.Count() });
  mEntries.erase(it);
}

void AdmissionQueue::MoveOverdue(base::TimePoint aNow)
{
  while (!mBySendTime.empty() && mBySendTime.begin()->first < aNow) {
    Entry& entry = mEntries.at(Ticket(mBySendTime.begin()->second));
    mBySendTime.erase(mBySendTime.begin());
    entry.mIsOverdue = true;
    mOnTime.Remove(entry.mRequest);
    mOverdue.Add(entry.mRequest);
  }
}

double AdmissionQueue::OverdueRate(base::TimePoint aNow) const
{
  return mOverdueSent *
         std::exp(-Seconds(aNow - mOverdueSentAt) / kAveragingTime) /
         kAveragingTime.count();
}

void AdmissionQueue::OnSent(base::TimePoint aNow, Ticket aTicket)
{
  const auto it = mEntries.find(aTicket);
  if (it == mEntries.end()) {
    return;
  }
  (it->second.mIsOverdue ? mOverdue : mOnTime).OnSent(it->second.mRequest);
  if (it->second.mIsOverdue) {
    mOverdueSent = OverdueRate(aNow) * kAveragingTime.count() + 1;
    mOverdueSentAt = aNow;
  }
}

void AdmissionQueue::OnSentDirectly(const QueuedRequest& aRequest)
{
  mOnTime.OnSent(aRequest);
}

bool AdmissionQueue::IsNext(base::TimePoint aNow, const QueuedRequest& aRequest)
{
  MoveOverdue(aNow);
  return mOnTime.IsNext(aRequest);
}

std::vector<Ticket> AdmissionQueue::Excess(base::TimePoint aNow)
{
  MoveOverdue(aNow);
  std::vector<Ticket> excess;
  const double rate = OverdueRate(aNow);
  std::size_t position = 0;
  for (RankedRequests::Cursor it(mOverdue); !it.IsAtEnd();) {
    const Ticket ticket = it.Next();
    const base::TimePoint giveUpAt = mEntries.at(ticket).mRequest.mGiveUpAt;
    const bool isReached =
      position < kMinOverdue || giveUpAt == base::TimePoint::max() ||
      static_cast<double>(position) <= rate * Seconds(giveUpAt - aNow).count();
    if (isReached) {
      ++position;
    } else {
      excess.push_back(ticket);
    }
  }
  return excess;
}

std::vector<Ticket> AdmissionQueue::First(base::TimePoint aNow,
                                          std::size_t aMaxCount)
{
  MoveOverdue(aNow);
  const std::size_t maxOfCustomer =
    std::max<std::size_t>(aMaxCount / kMaxCustomerShare, 1);
  std::unordered_map<customers::CustomerId, std::size_t> counts;
  std::vector<Ticket> tickets;
  std::vector<Ticket> rest;
  for (const auto* group : { &mOnTime, &mOverdue }) {
    for (RankedRequests::Cursor it(*group); !it.IsAtEnd();) {
      if (tickets.size() == aMaxCount) {
        return tickets;
      }
      const Ticket ticket = it.Next();
      const auto& customer = mEntries.at(ticket).mRequest.mCustomer;
      const bool isPostponed =
        !customer.IsEmpty() && ++counts[customer] > maxOfCustomer;
      (isPostponed ? rest : tickets).push_back(ticket);
    }
  }
  rest.resize(std::min(rest.size(), aMaxCount - tickets.size()));
  tickets.insert(tickets.end(), rest.begin(), rest.end());
  return tickets;
}

} // namespace auburnmux::admission
