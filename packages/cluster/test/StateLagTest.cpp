#include "cluster/Cluster.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using cluster::StateLag;
using membership::StateEra;
using membership::StatePosition;
using membership::StateRevision;
using std::chrono::milliseconds;

namespace {

constexpr StatePosition At(std::uint64_t aRevision, std::uint64_t aEra = 0)
{
  return { StateEra(aEra), StateRevision(aRevision) };
}

} // namespace

TEST_GROUP(StateLag)
{
  static constexpr StatePosition kOwn = At(10);
  StateLag mLag{ milliseconds(800) };
  base::TimePoint mStart{ std::chrono::seconds(100) };
};

TEST(StateLag, CopyThatMissesAnAnnouncedChangeIsBehind)
{
  mLag.OnAnnounced(mStart, At(11), kOwn);
  CHECK_FALSE(mLag.IsBehind(mStart + milliseconds(500), kOwn));
  CHECK_TRUE(mLag.IsBehind(mStart + milliseconds(1000), kOwn));
}

TEST(StateLag, CopyThatReceivesTheChangeIsNot)
{
  mLag.OnAnnounced(mStart, At(11), kOwn);
  CHECK_FALSE(mLag.IsBehind(mStart + milliseconds(1000), At(11)));
}

// Guards against a series of announcements that postpones the decision.
TEST(StateLag, FurtherAnnouncementsDontPostponeIt)
{
  for (int i = 0; i < 10; ++i) {
    mLag.OnAnnounced(mStart + i * milliseconds(100),
                     At(11 + static_cast<std::uint64_t>(i)), kOwn);
  }
  CHECK_TRUE(mLag.IsBehind(mStart + milliseconds(1000), kOwn));
}

TEST(StateLag, CopyThatKeepsUpWithASeriesIsNotBehind)
{
  std::uint64_t own = 10;
  for (int i = 0; i < 100; ++i, ++own) {
    const base::TimePoint now = mStart + i * milliseconds(200);
    mLag.OnAnnounced(now, At(own + 2), At(own));
    CHECK_FALSE(mLag.IsBehind(now, At(own)));
  }
}

TEST(StateLag, OldAnnouncementsAreIgnored)
{
  mLag.OnAnnounced(mStart, kOwn, kOwn);
  CHECK_FALSE(mLag.IsBehind(mStart + milliseconds(5000), kOwn));
}

// Guards against taking the revisions of an earlier era for changes that this
// copy has missed, and against a copy that stays in an earlier era.
TEST(StateLag, PositionsAreComparedByEraFirst)
{
  mLag.OnAnnounced(mStart, At(90, 1), At(10, 2));
  CHECK_FALSE(mLag.IsBehind(mStart + milliseconds(5000), At(10, 2)));
  mLag.OnAnnounced(mStart, At(5, 3), At(10, 2));
  CHECK_TRUE(mLag.IsBehind(mStart + milliseconds(1000), At(99, 2)));
  CHECK_FALSE(mLag.IsBehind(mStart + milliseconds(1000), At(5, 3)));
}
