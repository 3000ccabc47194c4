#include "limits/Limits.h"

#include "base/test/support/Property.h"

#include <algorithm>
#include <map>

using namespace auburnmux;
using namespace auburnmux::limits;
using base::ByteCount;
using base::TimePoint;
using base::WorkClass;
using std::chrono::milliseconds;

namespace {

const TimePoint kStart(std::chrono::hours(1));

QueueEntry Entry(std::uint64_t aId, WorkClass aClass = WorkClass::Short,
                 std::uint64_t aCaller = 0, int aDeadlineMs = 100,
                 std::uint64_t aBytes = 10)
{
  return { QueuedId(aId),
           aClass,
           CallerKey(aCaller),
           kStart,
           kStart + milliseconds(aDeadlineMs),
           ByteCount(aBytes) };
}

/** Runs the queue alongside a reference model and compares their contents. */
class Model
{
public:
  static constexpr std::uint32_t kEntries = 12;
  static constexpr std::uint64_t kBytes = 500;

  void Push(const QueueEntry& aEntry)
  {
    mHeld[aEntry.mId] = aEntry;
    for (const QueueEntry& it : mQueue.Push(aEntry)) {
      CheckShed(it);
      Take(it);
    }
    CheckBounds();
  }

  void Pop(TimePoint aNow, WorkClass aClass, base::Duration aService)
  {
    const Popped popped = mQueue.Pop(aNow, aClass, aService);
    for (const QueueEntry& it : popped.mExpired) {
      RC_ASSERT(aNow + aService > it.mDeadline);
      Take(it);
    }
    if (popped.mNext) {
      RC_ASSERT(aNow + aService <= popped.mNext->mDeadline);
      RC_ASSERT(popped.mNext->mClass == aClass);
      Take(*popped.mNext);
    }
    for (const auto& [id, it] : mHeld) {
      if (it.mClass == aClass) {
        RC_ASSERT(popped.mNext.has_value());
        RC_ASSERT(popped.mNext->mDeadline <= it.mDeadline);
      }
    }
  }

  void Expire(TimePoint aNow)
  {
    for (const QueueEntry& it : mQueue.Expire(aNow)) {
      Take(it);
    }
    for (const auto& [id, it] : mHeld) {
      RC_ASSERT(it.mDeadline > aNow);
    }
  }

  void Remove(QueuedId aId)
  {
    RC_ASSERT(mQueue.Remove(aId).has_value() == (mHeld.erase(aId) == 1));
  }

private:
  std::map<CallerKey, double> Shares(WorkClass aClass) const
  {
    std::map<CallerKey, double> entries;
    std::map<CallerKey, double> bytes;
    for (const auto& [id, it] : mHeld) {
      if (it.mClass == aClass) {
        entries[it.mCaller] += 1.0 / kEntries;
        bytes[it.mCaller] += double(it.mBytes.Count()) / kBytes;
      }
    }
    for (auto& [caller, share] : entries) {
      share = std::max(share, bytes[caller]);
    }
    return entries;
  }

  void CheckShed(const QueueEntry& aEntry) const
  {
    const auto shares = Shares(aEntry.mClass);
    for (const auto& [caller, share] : shares) {
      RC_ASSERT(shares.at(aEntry.mCaller) >= share - 1e-4);
    }
    for (const auto& [id, it] : mHeld) {
      if (it.mCaller == aEntry.mCaller && it.mClass == aEntry.mClass) {
        RC_ASSERT(!(aEntry.mId < id));
      }
    }
  }

  void Take(const QueueEntry& aEntry)
  {
    RC_ASSERT(mHeld.erase(aEntry.mId) == 1U);
  }

  void CheckBounds() const
  {
    for (const WorkClass workClass : { WorkClass::Short, WorkClass::Long }) {
      std::uint64_t bytes = 0;
      std::uint32_t entries = 0;
      for (const auto& [id, it] : mHeld) {
        entries += it.mClass == workClass ? 1 : 0;
        bytes += it.mClass == workClass ? it.mBytes.Count() : 0;
      }
      RC_ASSERT(entries <= kEntries && bytes <= kBytes);
      RC_ASSERT(mQueue.Size(workClass) == entries);
      RC_ASSERT(mQueue.Bytes(workClass).Count() == bytes);
    }
  }

  DeadlineQueue mQueue{ { { kEntries, ByteCount(kBytes) },
                          { kEntries, ByteCount(kBytes) } } };
  std::map<QueuedId, QueueEntry> mHeld;
};

} // namespace

TEST_GROUP(DeadlineQueue){};

// Guards against entries served out of deadline order or too late, entries lost
// or answered twice, unbounded memory, and shedding requests of callers that
// queue only a few.
TEST(DeadlineQueue, AgreesWithAPlainModelOverAnyHistory)
{
  CHECK_PROPERTY("order, bounds, fairness", [](std::uint64_t aSeed) {
    base::Random random(aSeed);
    Model model;
    TimePoint now = kStart;
    for (std::uint64_t id = 1; id < 150; ++id) {
      const auto workClass = static_cast<WorkClass>(random.Below(2));
      const std::uint64_t action = random.Below(10);
      if (action < 6) {
        model.Push(Entry(id, workClass, random.Below(4),
                         static_cast<int>(random.Below(400)),
                         random.Below(120)));
      } else if (action < 8) {
        model.Pop(now, workClass, milliseconds(random.Below(30)));
      } else if (action < 9) {
        model.Remove(QueuedId(random.Below(id)));
      } else {
        now += milliseconds(random.Below(40));
        model.Expire(now);
      }
    }
  });
}

// Guards against long work (uploads) and short work (checks) crowding each
// other out of the queue.
TEST(DeadlineQueue, ClassesDoNotShareSpaceAndNeitherStarves)
{
  DeadlineQueue queue({ { 50, ByteCount(1000) }, { 50, ByteCount(1000) } });
  for (std::uint64_t id = 0; id < 200; ++id) {
    queue.Push(Entry(id, WorkClass::Long));
  }
  CHECK_TRUE(queue.Push(Entry(1000)).empty());
  for (std::uint64_t id = 1001; id < 1040; ++id) {
    queue.Push(Entry(id));
  }
  LONGS_EQUAL(50, queue.Size(WorkClass::Long));
  int shortTurns = 0;
  for (int i = 0; i < 16; ++i) {
    const WorkClass next = *queue.NextClass();
    shortTurns += next == WorkClass::Short ? 1 : 0;
    queue.Pop(kStart, next, milliseconds(1));
  }
  LONGS_EQUAL(14, shortTurns);
}

// Guards against one caller's burst causing another caller's single request to
// be shed.
TEST(DeadlineQueue, BurstOfOneCallerShedsItself)
{
  DeadlineQueue queue({ { 10, ByteCount(1000) }, {} });
  for (std::uint64_t id = 0; id < 10; ++id) {
    queue.Push(Entry(id, WorkClass::Short, 1));
  }
  const auto shed = queue.Push(Entry(10, WorkClass::Short, 2));
  LONGS_EQUAL(1, shed.size());
  LONGS_EQUAL(9, shed.front().mId.Count());
}

TEST_GROUP(Admission){};

// Guards against queueing requests that then miss their deadline.
TEST(Admission, ShedsWhenTheExpectedWaitExceedsTheDeadline)
{
  CHECK_PROPERTY("admitted iff wait and work fit", [] {
    Admission admission;
    const auto service = milliseconds(*rc::gen::inRange(1, 100));
    for (int i = 0; i < 200; ++i) {
      admission.OnServed(WorkClass::Short, service);
    }
    const AdmissionLoad load{
      *rc::gen::inRange<std::uint32_t>(0, 500),
      base::SlotCount(*rc::gen::inRange<std::uint32_t>(0, 10)),
      base::SlotCount(*rc::gen::inRange<std::uint32_t>(0, 10))
    };
    const auto remaining = milliseconds(*rc::gen::inRange(0, 5000));
    const auto result = admission.Decide(WorkClass::Short, remaining, load);
    const bool admitted = std::holds_alternative<Admitted>(result);
    if (load.mSlots.Count() == 0) {
      RC_ASSERT(!admitted);
    } else if (load.mFree.Count() > load.mWaiting) {
      RC_ASSERT(admitted == (remaining >= service));
    } else {
      const double ahead = load.mWaiting + 1 - load.mFree.Count();
      const double wait = ahead * service.count() / load.mSlots.Count();
      RC_ASSERT(admitted || wait + service.count() > remaining.count() - 1);
      RC_ASSERT(!admitted || wait + service.count() <= remaining.count() + 1);
    }
  });
}

// Guards against shedding all requests before there are any samples.
TEST(Admission, AdmitsWithoutSamples)
{
  const Admission admission;
  CHECK_TRUE(std::holds_alternative<Admitted>(
    admission.Decide(WorkClass::Short, milliseconds(1),
                     { 100, base::SlotCount(0), base::SlotCount(9) })));
}
