#include "upstreams/Upstreams.h"

#include "base/test/support/Property.h"

#include <set>

using namespace auburnmux;
using namespace auburnmux::upstreams;
using std::chrono::milliseconds;

namespace {

base::TimePoint At(int aMilliseconds)
{
  return base::TimePoint(milliseconds(aMilliseconds));
}

UpstreamRecord MakeRecord(const char* aId, int aPort = 1)
{
  UpstreamRecord record;
  record.mId = base::UpstreamId(aId);
  record.mService = base::ServiceId("core");
  record.mAddress = "10.0.0.1";
  record.mPort = base::PortNumber(static_cast<std::uint16_t>(aPort));
  record.mSlots = base::SlotCount(9);
  return record;
}

UpstreamRecord Process(const char* aId, int aPort, std::uint64_t aBorn)
{
  UpstreamRecord record = MakeRecord(aId, aPort);
  record.mIncarnation = base::Incarnation(aBorn);
  return record;
}

/** Tracks the upstreams to which requests may be sent, from the events. */
struct Follower
{
  std::set<std::string> mUsable;

  void Take(const UpstreamEvents& aEvents)
  {
    for (const UpstreamEvent& it : aEvents) {
      std::visit(*this, it);
    }
  }
  void operator()(const UpstreamAppeared& aEvent)
  {
    mUsable.insert(aEvent.mRecord.mId.Text());
  }
  void operator()(const UpstreamChanged& /*aEvent*/) {}
  void operator()(const UpstreamLeaving& aEvent)
  {
    mUsable.erase(aEvent.mId.Text());
  }
  void operator()(const UpstreamGone& aEvent)
  {
    mUsable.erase(aEvent.mId.Text());
  }
};

} // namespace

TEST_GROUP(UpstreamBook)
{
  UpstreamBook mBook;
  Follower mFollower;

  void List(int aNow, const std::vector<UpstreamRecord>& aRecords)
  {
    mFollower.Take(mBook.OnList(At(aNow), aRecords));
  }
  void Tick(int aNow)
  {
    mFollower.Take(mBook.OnTick(At(aNow)));
  }
  void Announce(int aSentAt, const char* aId)
  {
    mFollower.Take(
      mBook.OnLeavingAnnounced(At(aSentAt), base::UpstreamId(aId)));
  }
  bool IsUsable(const char* aId) const
  {
    return mFollower.mUsable.count(aId) > 0;
  }
};

TEST(UpstreamBook, RemovedUpstreamGetsNothingAtOnce)
{
  List(0, { MakeRecord("a", 1), MakeRecord("b", 2) });
  mFollower.Take(mBook.OnRemoved(At(10), base::UpstreamId("a")));
  CHECK_FALSE(IsUsable("a"));
  CHECK_TRUE(IsUsable("b"));
}

// Guards against hosts that stop using upstreams whose entries lapsed only
// because the store was unavailable.
TEST(UpstreamBook, EntryThatLapsedInAnOutageIsKeptUntilTheGraceEnds)
{
  List(0, { MakeRecord("a", 1), MakeRecord("b", 2) });
  mBook.OnSourceLost(At(1000));
  mBook.OnSourceBack(At(9000));
  List(9010, {});
  CHECK_TRUE(IsUsable("a"));
  mFollower.Take(mBook.OnRecord(At(9500), MakeRecord("a", 1)));
  Tick(10900);
  CHECK_TRUE(IsUsable("b"));
  Tick(11050);
  CHECK_TRUE(IsUsable("a"));
  CHECK_FALSE(IsUsable("b"));
}

// Guards against new requests to an upstream that announced its shutdown before
// an outage hid its removal.
TEST(UpstreamBook, LeavingUpstreamIsNotKeptByAnOutage)
{
  UpstreamRecord leaving = MakeRecord("a");
  List(0, { leaving });
  leaving.mIsLeaving = true;
  mFollower.Take(mBook.OnRecord(At(100), leaving));
  CHECK_FALSE(IsUsable("a"));
  mBook.OnSourceLost(At(200));
  mFollower.Take(mBook.OnRemoved(At(300), base::UpstreamId("a")));
  CHECK_EQUAL(0U, mBook.Size());
}

// Found by a randomized test (easpa scale-2, seed 307090270602): a host that
// was cut off kept an upstream that had left meanwhile for the grace period of
// lapsed entries.
TEST(UpstreamBook, HostThatReadsOnTellsWhatIsGone)
{
  List(0, { MakeRecord("a", 1), MakeRecord("b", 2) });
  mBook.OnSourceLost(At(1000));
  mFollower.Take(mBook.OnList(At(4000), { MakeRecord("b", 2) },
                              ListSource::SettledElsewhere));
  CHECK_FALSE(IsUsable("a"));
  CHECK_TRUE(IsUsable("b"));
}

// Found in the same logs: a list that repeats a known record must cause no
// event, which would reset the remaining cold time of an upstream to an old
// value.
TEST(UpstreamBook, RepeatedRecordIsNoChange)
{
  UpstreamRecord record = MakeRecord("a");
  record.mColdRemaining = milliseconds(3000);
  List(0, { record });
  CHECK_TRUE(mBook.OnList(At(5000), { record }).empty());
}

TEST(UpstreamBook, LeavingIsNeverTakenBack)
{
  UpstreamRecord record = MakeRecord("a");
  record.mIsLeaving = true;
  List(0, { record });
  record.mIsLeaving = false;
  mFollower.Take(mBook.OnRecord(At(100), record));
  CHECK_FALSE(IsUsable("a"));
}

// Guards against a process that inherits the state of its predecessor.
TEST(UpstreamBook, NewProcessUnderAnOldIdReplacesIt)
{
  UpstreamRecord record = MakeRecord("a");
  record.mIncarnation = base::Incarnation(1);
  record.mIsLeaving = true;
  List(0, { record });
  record.mIncarnation = base::Incarnation(2);
  record.mIsLeaving = false;
  const UpstreamEvents events = mBook.OnRecord(At(100), record);
  CHECK_EQUAL(2U, events.size());
  CHECK_TRUE(std::holds_alternative<UpstreamGone>(events[0]));
  CHECK_TRUE(std::holds_alternative<UpstreamAppeared>(events[1]));
}

// Guards against two upstreams at one address, one of which has stopped.
TEST(UpstreamBook, NewOwnerOfAnAddressReplacesTheOld)
{
  List(0, { MakeRecord("a", 7) });
  mFollower.Take(mBook.OnRecord(At(100), MakeRecord("b", 7)));
  CHECK_FALSE(IsUsable("a"));
  CHECK_TRUE(IsUsable("b"));
}

// For any order of lists, changes, removals and outages: once the source has
// been available again for the grace period, the usable upstreams are those
// that it listed last and that were never leaving.
TEST(UpstreamBook, SettlesOnWhatTheSourceSays)
{
  CHECK_PROPERTY("the book ends at the source's state", [] {
    UpstreamBook book;
    Follower follower;
    std::map<std::string, UpstreamRecord> source;
    int now = 0;
    std::uint64_t born = 1;
    const int steps = *rc::gen::inRange(1, 40);
    for (int i = 0; i < steps; ++i) {
      now += *rc::gen::inRange(1, 1500);
      const std::string id(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
      switch (*rc::gen::inRange(0, 6)) {
        case 0: {
          UpstreamRecord record = MakeRecord(id.c_str(), id[0]);
          record.mIncarnation = base::Incarnation(born++);
          source[id] = record;
          follower.Take(book.OnRecord(At(now), record));
          break;
        }
        case 1:
          if (source.count(id) > 0) {
            source[id].mIsLeaving = true;
            follower.Take(book.OnRecord(At(now), source[id]));
          }
          break;
        case 2:
          source.erase(id);
          follower.Take(book.OnRemoved(At(now), base::UpstreamId(id)));
          break;
        case 3:
          book.OnSourceLost(At(now));
          break;
        case 4:
          book.OnSourceBack(At(now));
          break;
        default:
          follower.Take(book.OnTick(At(now)));
      }
    }
    book.OnSourceBack(At(now));
    std::vector<UpstreamRecord> listed;
    std::set<std::string> expected;
    for (const auto& [id, record] : source) {
      listed.push_back(record);
      if (!record.mIsLeaving) {
        expected.insert(id);
      }
    }
    follower.Take(book.OnList(At(now), listed));
    follower.Take(book.OnTick(At(now + 2300)));
    RC_ASSERT(follower.mUsable == expected);
  });
}

TEST(UpstreamBook, AnnouncedLeavingOutlivesEntriesThatSayReady)
{
  List(0, { MakeRecord("a", 1), MakeRecord("b", 2) });
  Announce(100, "a");
  CHECK_FALSE(IsUsable("a"));
  CHECK_TRUE(IsUsable("b"));
  mFollower.Take(mBook.OnRecord(At(200), MakeRecord("a", 1)));
  List(300, { MakeRecord("a", 1), MakeRecord("b", 2) });
  CHECK_FALSE(IsUsable("a"));
}

TEST(UpstreamBook, AnnouncedLeavingOutlivesALapsedEntry)
{
  List(0, { MakeRecord("a", 1) });
  mBook.OnSourceLost(At(50));
  Announce(100, "a");
  mFollower.Take(mBook.OnRemoved(At(200), base::UpstreamId("a")));
  mBook.OnSourceBack(At(300));
  List(400, { MakeRecord("a", 1) });
  Tick(5000);
  CHECK_FALSE(IsUsable("a"));
}

TEST(UpstreamBook, AnnouncementThatArrivesAfterTheRemovalCounts)
{
  List(0, { MakeRecord("a", 1) });
  mFollower.Take(mBook.OnRemoved(At(100), base::UpstreamId("a")));
  Announce(50, "a");
  List(200, { MakeRecord("a", 1) });
  CHECK_FALSE(IsUsable("a"));
}

TEST(UpstreamBook, AnnouncementOfAReplacedProcessIsIgnored)
{
  UpstreamRecord first = MakeRecord("a", 1);
  first.mIncarnation = base::Incarnation(1);
  List(0, { first });
  UpstreamRecord next = first;
  next.mIncarnation = base::Incarnation(2);
  mFollower.Take(mBook.OnRecord(At(200), next));
  Announce(100, "a");
  CHECK_TRUE(IsUsable("a"));
  Announce(300, "a");
  CHECK_FALSE(IsUsable("a"));
}

TEST(UpstreamBook, NewProcessUnderTheIdOfALeavingOneIsUsable)
{
  UpstreamRecord first = MakeRecord("a", 1);
  first.mIncarnation = base::Incarnation(1);
  List(0, { first });
  Announce(100, "a");
  mFollower.Take(mBook.OnRemoved(At(200), base::UpstreamId("a")));
  UpstreamRecord next = first;
  next.mIncarnation = base::Incarnation(2);
  List(300, { next });
  CHECK_TRUE(IsUsable("a"));
}

// Guards against upstreams that are dropped because they registered in the
// seconds that the source lost.
TEST(UpstreamBook, EntryLostInARollbackIsKeptUntilAListAfterTheGrace)
{
  List(0, { Process("a", 1, 1), Process("b", 2, 1), Process("c", 3, 1) });
  mBook.OnSourceRolledBack(At(1000));
  List(1000, { Process("a", 1, 1) });
  CHECK_TRUE(IsUsable("b"));
  mFollower.Take(mBook.OnRecord(At(2500), Process("b", 2, 1)));
  Tick(3500);
  CHECK_TRUE(IsUsable("c"));
  List(3500, { Process("a", 1, 1), Process("b", 2, 1) });
  CHECK_TRUE(IsUsable("a"));
  CHECK_TRUE(IsUsable("b"));
  CHECK_FALSE(IsUsable("c"));
}

TEST(UpstreamBook, ListOfASettledHostEndsTheGraceOfARollback)
{
  List(0, { Process("a", 1, 1), Process("b", 2, 1) });
  mBook.OnSourceRolledBack(At(1000));
  List(1000, {});
  mFollower.Take(mBook.OnList(At(1500), { Process("a", 1, 1) },
                              ListSource::SettledElsewhere));
  CHECK_TRUE(IsUsable("a"));
  CHECK_FALSE(IsUsable("b"));
}

// Guards against requests to processes whose end the source has lost.
TEST(UpstreamBook, RemovedAndReplacedProcessesDontReturnByARollback)
{
  List(0, { Process("a", 1, 1), Process("b", 2, 1) });
  mFollower.Take(mBook.OnRemoved(At(100), base::UpstreamId("a")));
  mFollower.Take(mBook.OnRecord(At(200), Process("b", 2, 2)));
  mBook.OnSourceRolledBack(At(1000));
  List(1000, { Process("a", 1, 1), Process("b", 2, 1) });
  mFollower.Take(mBook.OnRecord(At(1100), Process("a", 1, 1)));
  CHECK_FALSE(IsUsable("a"));
  CHECK_TRUE(IsUsable("b"));
  CHECK_EQUAL(1U, mBook.Size());
  List(3100, { Process("a", 1, 3), Process("b", 2, 2) });
  CHECK_TRUE(IsUsable("a"));
  CHECK_TRUE(IsUsable("b"));
}

TEST(UpstreamBook, AnnouncedShutdownIsNotTakenBackByARollback)
{
  List(0, { Process("a", 1, 1), Process("b", 2, 1) });
  Announce(100, "a");
  UpstreamRecord leaving = Process("b", 2, 1);
  leaving.mIsLeaving = true;
  mFollower.Take(mBook.OnRecord(At(200), leaving));
  mBook.OnSourceRolledBack(At(1000));
  List(1000, { Process("a", 1, 1), Process("b", 2, 1) });
  List(3100, { Process("a", 1, 1), Process("b", 2, 1) });
  CHECK_FALSE(IsUsable("a"));
  CHECK_FALSE(IsUsable("b"));
}
