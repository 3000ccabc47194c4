#include "admission/src/AdmissionQueue.h"

#include <cmath>

namespace auburnmux::admission {

namespace {

using Seconds = std::chrono::duration<double>;

/** Averaging time of the rate at which overdue requests are sent. */
constexpr Seconds kAveragingTime{ 1 };

/** Overdue requests that are never in excess, as their rate isn't known before
 * some have been sent. */
constexpr std::size_t kMinOverdue = 4;

} // namespace

AdmissionQueue::SortKey AdmissionQueue::SortKeyOf(const QueuedRequest& aRequest)
{
  return { aRequest.mRank, aRequest.mArrived, aRequest.mTicket.Count() };
}

void AdmissionQueue::Add(const QueuedRequest& aRequest)
{
  mEntries[aRequest.mTicket] = { aRequest };
  mOnTime.insert(SortKeyOf(aRequest));
  mBySendTime.insert({ aRequest.mSendBy, aRequest.mTicket.Count() });
}

void AdmissionQueue::Remove(Ticket aTicket)
{
  const auto it = mEntries.find(aTicket);
  if (it == mEntries.end()) {
    return;
  }
  const QueuedRequest& request = it->second.mRequest;
  (it->second.mIsOverdue ? mOverdue : mOnTime).erase(SortKeyOf(request));
  mBySendTime.erase({ request.mSendBy, aTicket.Count() });
  mEntries.erase(it);
}

void AdmissionQueue::MoveOverdue(base::TimePoint aNow)
{
  while (!mBySendTime.empty() && mBySendTime.begin()->first < aNow) {
    Entry& entry = mEntries.at(Ticket(mBySendTime.begin()->second));
    mBySendTime.erase(mBySendTime.begin());
    entry.mIsOverdue = true;
    mOnTime.erase(SortKeyOf(entry.mRequest));
    mOverdue.insert(SortKeyOf(entry.mRequest));
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
  if (it != mEntries.end() && it->second.mIsOverdue) {
    mOverdueSent = OverdueRate(aNow) * kAveragingTime.count() + 1;
    mOverdueSentAt = aNow;
  }
}

std::vector<Ticket> AdmissionQueue::Excess(base::TimePoint aNow)
{
  MoveOverdue(aNow);
  std::vector<Ticket> excess;
  const double rate = OverdueRate(aNow);
  std::size_t position = 0;
  for (const SortKey& it : mOverdue) {
    const Ticket ticket(std::get<std::uint64_t>(it));
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
  std::vector<Ticket> tickets;
  for (const auto* group : { &mOnTime, &mOverdue }) {
    for (const SortKey& it : *group) {
      if (tickets.size() == aMaxCount) {
        return tickets;
      }
      tickets.emplace_back(std::get<std::uint64_t>(it));
    }
  }
  return tickets;
}

} // namespace auburnmux::admission
