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

// Guards against hosts of the version before eras that refuse a heartbeat with
// one, and against taking a missing era for one.
TEST(Cluster, HeartbeatsCarryTheEraOfTheState)
{
  membership::HeartbeatPayload payload;
  payload.mSender.mHost = {
    base::HostId("a"),     base::Incarnation(1), base::DataCentreId("zone-a"),
    base::RegionId("one"), "10.0.0.1",           base::PortNumber(1),
    base::PortNumber(2)
  };
  payload.mState.mRevisions = { membership::StateRevision(7) };
  const auto decode = [&payload] {
    protocol::Envelope envelope;
    CHECK_TRUE(envelope.ParseFromString(
      cluster::ToHeartbeat(payload).SerializeAsString()));
    return cluster::FromWire(envelope.heartbeat()).value();
  };
  CHECK_FALSE(decode().mState.mEra.has_value());
  payload.mState.mEra = membership::StateEra(3);
  CHECK_TRUE(decode().mState.mEra == membership::StateEra(3));
  CHECK_TRUE(decode().mState.mRevisions == payload.mState.mRevisions);
  const protocol::Envelope ack = cluster::ToHeartbeatAck(payload);
  CHECK_TRUE(cluster::FromWire(ack.heartbeat_ack())->mState.mEra ==
             membership::StateEra(3));
}
