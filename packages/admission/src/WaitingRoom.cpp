#include "admission/src/WaitingRoom.h"

namespace auburnmux::admission {

void WaitingRoom::Add(const Waiter& aWaiter)
{
  const Place place(aWaiter.mRank, aWaiter.mArrived, aWaiter.mTicket.Count());
  mOrder.insert(place);
  mPlaces[aWaiter.mTicket] = place;
}

void WaitingRoom::Remove(Ticket aTicket)
{
  const auto it = mPlaces.find(aTicket);
  if (it != mPlaces.end()) {
    mOrder.erase(it->second);
    mPlaces.erase(it);
  }
}

std::vector<Ticket> WaitingRoom::First(std::size_t aMost) const
{
  std::vector<Ticket> tickets;
  for (const Place& it : mOrder) {
    if (tickets.size() == aMost) {
      break;
    }
    tickets.emplace_back(std::get<std::uint64_t>(it));
  }
  return tickets;
}

} // namespace auburnmux::admission
