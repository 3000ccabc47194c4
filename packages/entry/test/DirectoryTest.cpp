#include "entry/src/Directory.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using namespace auburnmux::entry;
using membership::HostState;
using membership::HostView;

namespace {

HostView Host(const std::string& aAddress, std::uint32_t aLink,
              std::uint32_t aProcessor, HostState aState = HostState::Alive)
{
  HostView view;
  view.mHost.mId = base::HostId(aAddress);
  view.mHost.mAddress = aAddress;
  view.mHost.mDataCentre = base::DataCentreId("a");
  view.mHost.mRegion = base::RegionId("one");
  view.mHost.mCapacity = { membership::LinkRate(aLink),
                           membership::MilliCores(aProcessor) };
  view.mState = aState;
  return view;
}

std::size_t Count(const std::vector<HostView>& aHosts)
{
  return ChooseHosts(aHosts, base::DataCentreId("a"), base::RegionId("one"))
    .size();
}

} // namespace

TEST_GROUP(Directory){};

// Guards against directing clients to hosts with slow links (found on
// belhadj-rotas-grown scale-2): with links of 10 Mbit/s, the median upload took
// 0.4 s to be received before it could be forwarded, and p99 was 7.7 s.
TEST(Directory, NarrowLinksAreExcludedWhileOtherHostsCanCarryTheLoad)
{
  const HostView wide = Host("1", 200, 500);
  const HostView other = Host("2", 200, 500);
  const HostView narrow = Host("3", 10, 250);
  CHECK_EQUAL(2U, Count({ wide, other, narrow, narrow }));
  CHECK_EQUAL(2U, Count({ wide, narrow }));
  CHECK_EQUAL(6U, Count({ wide, other, Host("4", 10, 600), Host("5", 10, 600),
                          narrow, narrow }));
}

TEST(Directory, HostsWithSimilarOrUnknownLinksAreAllReturned)
{
  CHECK_EQUAL(2U, Count({ Host("1", 1000, 200), Host("2", 3000, 600) }));
  CHECK_EQUAL(3U, Count({ Host("1", 0, 0), Host("2", 0, 0), Host("3", 0, 0) }));
}

TEST(Directory, NarrowLinksAreUsedWhenNoOtherHostIsAlive)
{
  CHECK_EQUAL(
    1U, Count({ Host("1", 200, 500, HostState::Dead),
                Host("2", 200, 500, HostState::Leaving), Host("3", 10, 250) }));
}
