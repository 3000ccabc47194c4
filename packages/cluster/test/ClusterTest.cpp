#include "cluster/Cluster.h"
#include "membership/Membership.h"
#include "peer/Peer.h"

#include "base/test/support/Property.h"

using namespace auburnmux;

TEST_GROUP(Cluster){};

// Guards against declaring a live host dead because the connection to it became
// silent: the connection is replaced, and the next heartbeat arrives, before.
TEST(Cluster, SilentConnectionIsReplacedBeforeItsHostIsDeclaredDead)
{
  const membership::Timing timing;
  // One heartbeat may be missed on each side of the silence.
  CHECK_TRUE(peer::Transport::kSilenceTimeout + 2 * timing.mHeartbeatInterval <
             timing.mDeadAfter);
}
