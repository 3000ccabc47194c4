#include "cluster/Cluster.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using cluster::StateLag;
using membership::StateRevision;
using std::chrono::milliseconds;

TEST_GROUP(StateLag)
{
  static constexpr StateRevision kOwn{ 10 };
  StateLag mLag{ milliseconds(800) };
  base::TimePoint mStart{ std::chrono::seconds(100) };
};

TEST(StateLag, CopyThatMissesAnAnnouncedChangeIsBehind)
{
  mLag.OnAnnounced(mStart, StateRevision(11), kOwn);
  CHECK_FALSE(mLag.IsBehind(mStart + milliseconds(500), kOwn));
  CHECK_TRUE(mLag.IsBehind(mStart + milliseconds(1000), kOwn));
}

TEST(StateLag, CopyThatReceivesTheChangeIsNot)
{
  mLag.OnAnnounced(mStart, StateRevision(11), kOwn);
  CHECK_FALSE(mLag.IsBehind(mStart + milliseconds(1000), StateRevision(11)));
}

// Guards against a series of announcements that postpones the decision.
TEST(StateLag, FurtherAnnouncementsDontPostponeIt)
{
  for (int i = 0; i < 10; ++i) {
    mLag.OnAnnounced(mStart + i * milliseconds(100),
                     StateRevision(11 + static_cast<std::uint64_t>(i)), kOwn);
  }
  CHECK_TRUE(mLag.IsBehind(mStart + milliseconds(1000), kOwn));
}

TEST(StateLag, CopyThatKeepsUpWithASeriesIsNotBehind)
{
  std::uint64_t own = 10;
  for (int i = 0; i < 100; ++i, ++own) {
    const base::TimePoint now = mStart + i * milliseconds(200);
    mLag.OnAnnounced(now, StateRevision(own + 2), StateRevision(own));
    CHECK_FALSE(mLag.IsBehind(now, StateRevision(own)));
  }
}

TEST(StateLag, OldAnnouncementsAreIgnored)
{
  mLag.OnAnnounced(mStart, kOwn, kOwn);
  CHECK_FALSE(mLag.IsBehind(mStart + milliseconds(5000), kOwn));
}
