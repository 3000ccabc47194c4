#include "admission/src/FairOrder.h"

#include <algorithm>
#include <cassert>

namespace auburnmux::admission {

void FairOrder::Add(const customers::CustomerId& aCustomer, double aWeight,
                    const Position& aPosition)
{
  assert(aWeight > 0);
  Flow& flow = mFlows[aCustomer];
  if (flow.mWaiting.empty()) {
    flow.mStart = std::max(flow.mStart, mVirtualTime);
  }
  flow.mWeight = aWeight;
  flow.mWaiting.insert(aPosition);
  ++mSize;
}

void FairOrder::Remove(const customers::CustomerId& aCustomer,
                       const Position& aPosition)
{
  const auto flow = mFlows.find(aCustomer);
  if (flow != mFlows.end()) {
    mSize -= flow->second.mWaiting.erase(aPosition);
  }
  Prune();
}

void FairOrder::OnSent(const customers::CustomerId& aCustomer, double aWeight)
{
  Flow& flow = mFlows[aCustomer];
  if (flow.mWaiting.empty()) {
    flow.mStart = std::max(flow.mStart, mVirtualTime);
    flow.mWeight = aWeight;
  }
  mVirtualTime = std::max(mVirtualTime, flow.mStart);
  flow.mStart += 1 / flow.mWeight;
}

void FairOrder::Prune()
{
  for (auto it = mFlows.begin(); it != mFlows.end();) {
    const Flow& flow = it->second;
    const bool isDone = flow.mWaiting.empty() && flow.mStart <= mVirtualTime;
    it = isDone ? mFlows.erase(it) : std::next(it);
  }
}

bool FairOrder::IsNext(const customers::CustomerId& aCustomer) const
{
  const auto own = mFlows.find(aCustomer);
  if (own != mFlows.end() && !own->second.mWaiting.empty()) {
    return false;
  }
  const double start = own == mFlows.end()
                         ? mVirtualTime
                         : std::max(own->second.mStart, mVirtualTime);
  return std::all_of(mFlows.begin(), mFlows.end(), [start](const auto& aIt) {
    return aIt.second.mWaiting.empty() || start < aIt.second.mStart;
  });
}

FairOrder::Cursor::Cursor(const FairOrder& aOrder)
{
  for (const auto& [customer, flow] : aOrder.mFlows) {
    if (!flow.mWaiting.empty()) {
      mHeads.push_back({ flow.mStart, 1 / flow.mWeight, flow.mWaiting.begin(),
                         flow.mWaiting.end() });
    }
  }
  std::make_heap(mHeads.begin(), mHeads.end(), IsLater);
}

bool FairOrder::Cursor::IsLater(const Head& aLeft, const Head& aRight)
{
  return aLeft.mStart != aRight.mStart ? aLeft.mStart > aRight.mStart
                                       : *aLeft.mNext > *aRight.mNext;
}

std::uint64_t FairOrder::Cursor::Next()
{
  assert(!mHeads.empty());
  std::pop_heap(mHeads.begin(), mHeads.end(), IsLater);
  Head& head = mHeads.back();
  const std::uint64_t ticket = head.mNext->second;
  ++head.mNext;
  head.mStart += head.mStep;
  if (head.mNext == head.mEnd) {
    mHeads.pop_back();
  } else {
    std::push_heap(mHeads.begin(), mHeads.end(), IsLater);
  }
  return ticket;
}

} // namespace auburnmux::admission
