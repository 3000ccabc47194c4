#include "idempotency/src/ChainReader.h"

#include <algorithm>
#include <utility>

namespace auburnmux::idempotency {

void ChainReader::Begin(SegmentNumber aFirst, SegmentNumber aLast)
{
  mSlots.clear();
  mNext = aFirst;
  mLast = aLast;
}

void ChainReader::Extend()
{
  mLast += SegmentNumber(1);
}

void ChainReader::Send(base::TimePoint aNow, CallCounter& aCalls,
                       ClaimLogActions& aOut)
{
  Fill();
  for (Slot& it : mSlots) {
    if (it.mCall == CallNumber(0) && !it.mValue && it.mDue <= aNow) {
      it.mCall = aCalls.Next();
      aOut.emplace_back(ReadSegment{ it.mCall, it.mNumber });
    }
  }
}

bool ChainReader::Accept(ReadResult aResult, base::TimePoint aNow,
                         base::Random& aRandom)
{
  const auto it =
    std::find_if(mSlots.begin(), mSlots.end(), [&aResult](const Slot& aSlot) {
      return aSlot.mCall == aResult.mCall && aSlot.mCall != CallNumber(0);
    });
  if (it == mSlots.end()) {
    return false;
  }
  it->mCall = CallNumber(0);
  if (aResult.mStatus == CallStatus::Done) {
    it->mValue =
      SegmentValue{ it->mNumber, aResult.mVersion, std::move(aResult.mBytes) };
  } else if (aResult.mStatus == CallStatus::NotFound) {
    it->mValue = SegmentValue{ it->mNumber, kAbsent, {} };
  } else {
    it->mDue = aNow + mDelay.Next(aRandom);
    return false;
  }
  mDelay.Reset();
  return true;
}

std::optional<SegmentValue> ChainReader::Take()
{
  if (mSlots.empty() || !mSlots.front().mValue) {
    return std::nullopt;
  }
  auto value = std::move(mSlots.front().mValue);
  mSlots.pop_front();
  return value;
}

void ChainReader::Retry(SegmentNumber aNumber, base::TimePoint aNow,
                        base::Random& aRandom)
{
  mSlots.push_front({ aNumber, aNow + mDelay.Next(aRandom), {}, {} });
}

void ChainReader::Fill()
{
  while (mSlots.size() < kWindow && mNext <= mLast) {
    mSlots.push_back({ mNext, {}, {}, {} });
    mNext += SegmentNumber(1);
  }
}

} // namespace auburnmux::idempotency
