#include "admission/src/RankedRequests.h"

#include <utility>

namespace auburnmux::admission {

RankedRequests::Class RankedRequests::ClassOf(const QueuedRequest& aRequest)
{
  return { aRequest.mService, aRequest.mCustomerRank.value_or(aRequest.mRank),
           aRequest.mRank };
}

FairOrder::Position RankedRequests::PositionOf(const QueuedRequest& aRequest)
{
  return { aRequest.mArrived, aRequest.mTicket.Count() };
}

RankedRequests::Place RankedRequests::PlaceOf(const QueuedRequest& aRequest,
                                              const FairOrder* aOrder)
{
  return { { aRequest.mCustomerRank.value_or(aRequest.mRank), aRequest.mRank,
             aRequest.mArrived, aRequest.mTicket.Count() },
           aOrder };
}

void RankedRequests::Add(const QueuedRequest& aRequest)
{
  FairOrder& order = mClasses[ClassOf(aRequest)];
  order.Add(aRequest.mCustomer, aRequest.mWeight, PositionOf(aRequest));
  mPlaces.insert(PlaceOf(aRequest, &order));
}

void RankedRequests::Remove(const QueuedRequest& aRequest)
{
  mPlaces.erase(PlaceOf(aRequest, nullptr));
  const auto it = mClasses.find(ClassOf(aRequest));
  if (it == mClasses.end()) {
    return;
  }
  it->second.Remove(aRequest.mCustomer, PositionOf(aRequest));
  if (it->second.IsEmpty()) {
    mClasses.erase(it);
  }
}

void RankedRequests::OnSent(const QueuedRequest& aRequest)
{
  const auto it = mClasses.find(ClassOf(aRequest));
  if (it != mClasses.end()) {
    it->second.OnSent(aRequest.mCustomer, aRequest.mWeight);
  }
}

bool RankedRequests::IsNext(const QueuedRequest& aRequest) const
{
  const Class own = ClassOf(aRequest);
  const auto first = mClasses.lower_bound({ aRequest.mService, 0, 0 });
  if (first == mClasses.end() || own < first->first) {
    return true;
  }
  return first->first == own && first->second.IsNext(aRequest.mCustomer);
}

RankedRequests::Cursor::Cursor(const RankedRequests& aRequests)
  : mPlace(aRequests.mPlaces.begin())
  , mEnd(aRequests.mPlaces.end())
{
}

Ticket RankedRequests::Cursor::Next()
{
  const FairOrder* order = mPlace->mOrder;
  ++mPlace;
  const auto cursor = mCursors.try_emplace(order, *order).first;
  return Ticket(cursor->second.Next());
}

} // namespace auburnmux::admission
