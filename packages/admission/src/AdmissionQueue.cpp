#include "admission/src/AdmissionQueue.h"

namespace auburnmux::admission {

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
