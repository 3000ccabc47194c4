#include "admission/src/WaitingRoom.h"

namespace auburnmux::admission {

WaitingRoom::Place WaitingRoom::PlaceOf(const Waiter& aWaiter)
{
  return { aWaiter.mRank, aWaiter.mArrived, aWaiter.mTicket.Count() };
}

void WaitingRoom::Add(const Waiter& aWaiter)
{
  mEntries[aWaiter.mTicket] = { aWaiter };
  mTimely.insert(PlaceOf(aWaiter));
  mBySendTime.insert({ aWaiter.mSendBy, aWaiter.mTicket.Count() });
}

void WaitingRoom::Remove(Ticket aTicket)
{
  const auto it = mEntries.find(aTicket);
  if (it == mEntries.end()) {
    return;
  }
  const Waiter& waiter = it->second.mWaiter;
  (it->second.mIsLate ? mLate : mTimely).erase(PlaceOf(waiter));
  mBySendTime.erase({ waiter.mSendBy, aTicket.Count() });
  mEntries.erase(it);
}

void WaitingRoom::MoveLate(base::TimePoint aNow)
{
  while (!mBySendTime.empty() && mBySendTime.begin()->first < aNow) {
    Entry& entry = mEntries.at(Ticket(mBySendTime.begin()->second));
    mBySendTime.erase(mBySendTime.begin());
    entry.mIsLate = true;
    mTimely.erase(PlaceOf(entry.mWaiter));
    mLate.insert(PlaceOf(entry.mWaiter));
  }
}

std::vector<Ticket> WaitingRoom::First(base::TimePoint aNow, std::size_t aMost)
{
  MoveLate(aNow);
  std::vector<Ticket> tickets;
  for (const auto* group : { &mTimely, &mLate }) {
    for (const Place& it : *group) {
      if (tickets.size() == aMost) {
        return tickets;
      }
      tickets.emplace_back(std::get<std::uint64_t>(it));
    }
  }
  return tickets;
}

} // namespace auburnmux::admission
