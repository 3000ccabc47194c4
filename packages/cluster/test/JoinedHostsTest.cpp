#include "cluster/Cluster.h"

#include "base/test/support/Property.h"

#include <map>

using namespace auburnmux;
using cluster::JoinedHosts;
using membership::HostIdentity;
using membership::HostView;

namespace {

HostView View(std::uint64_t aNumber, std::uint64_t aCentre)
{
  HostView view;
  view.mHost.mId = base::HostId("h-" + std::to_string(aNumber));
  view.mHost.mDataCentre = base::DataCentreId("dc-" + std::to_string(aCentre));
  return view;
}

} // namespace

TEST_GROUP(JoinedHosts){};

// Guards against a restarted host to which nobody tells which requests crash
// upstreams, and against messages from all hosts to each one that joins.
TEST(JoinedHosts, EachIsInformedByItsDataCentreAndOneHostOfEachOther)
{
  CHECK_PROPERTY("joined hosts", [](std::uint64_t aSeed) {
    base::Random random(aSeed);
    const std::uint64_t centres = 1 + random.Below(4);
    std::vector<HostView> live;
    std::map<base::DataCentreId, int> sizes;
    const std::uint64_t n = 2 + random.Below(20);
    for (std::uint64_t i = 0; i < n; ++i) {
      live.push_back(View(i, random.Below(centres)));
      ++sizes[live.back().mHost.mDataCentre];
    }
    const HostIdentity joined = live.back().mHost;
    const std::vector<HostView> before(live.begin(), live.end() - 1);
    std::map<base::DataCentreId, int> senders;
    for (const HostView& it : before) {
      JoinedHosts host(it.mHost);
      host.OnView(before);
      const auto informed = host.OnView(live);
      RC_ASSERT(informed.size() <= 1U);
      for (const HostIdentity& to : informed) {
        RC_ASSERT(to.mId == joined.mId);
        ++senders[it.mHost.mDataCentre];
      }
      RC_ASSERT(host.OnView(live).empty());
    }
    for (const auto& [centre, size] : sizes) {
      const bool isOwn = centre == joined.mDataCentre;
      RC_ASSERT(senders[centre] == (isOwn ? size - 1 : 1));
    }
  });
}

// A host that was out of reach has missed messages, too.
TEST(JoinedHosts, HostThatComesBackIsInformedAgain)
{
  const std::vector<HostView> all{ View(1, 1), View(2, 1) };
  JoinedHosts host(all[0].mHost);
  CHECK_EQUAL(1U, host.OnView(all).size());
  CHECK_EQUAL(0U, host.OnView({ all[0] }).size());
  CHECK_EQUAL(1U, host.OnView(all).size());
}
