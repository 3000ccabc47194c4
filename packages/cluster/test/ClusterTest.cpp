#include "cluster/Cluster.h"
#include "membership/Membership.h"
#include "peer/Peer.h"

#include "base/test/support/Property.h"

using namespace auburnmux;

TEST_GROUP(Cluster){};

TEST(Cluster, SilentConnectionIsReplacedBeforeItsHostIsDeclaredDead)
{
  const membership::Timing timing;
  // One heartbeat may be missed on each side of the silence.
  CHECK_TRUE(peer::Transport::kSilenceTimeout + 2 * timing.mHeartbeatInterval <
             timing.mDeadAfter);
}
