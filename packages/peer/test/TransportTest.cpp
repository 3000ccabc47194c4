#include "peer/Peer.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using peer::FleetKey;
using peer::Transport;

namespace {

peer::TransportSettings Settings(const std::string& aName, std::uint16_t aPort,
                                 const std::optional<FleetKey>& aKey)
{
  return { base::HostId(aName),
           base::Incarnation(1),
           { "127.0.0.1", base::PortNumber(aPort) },
           aKey };
}

protocol::Envelope Heartbeat(std::uint64_t aNumber)
{
  protocol::Envelope envelope;
  envelope.mutable_heartbeat()->set_number(aNumber);
  return envelope;
}

} // namespace

TEST_GROUP(Transport)
{
  http::Loop mLoop;
};

// Guards against messages that stay unread in the socket, because its
// descriptor is edge-triggered.
TEST(Transport, EveryMessageOfABurstArrivesInOrder)
{
  constexpr std::uint64_t kMessages = 100;
  const FleetKey key = peer::CreateFleetKey();
  std::uint64_t received = 0;
  Transport receiver(mLoop, Settings("b", 19401, key),
                     [&](const protocol::Envelope& aEnvelope) {
                       ++received;
                       CHECK_EQUAL(received, aEnvelope.heartbeat().number());
                       if (received == kMessages) {
                         mLoop.Stop();
                       }
                     });
  Transport sender(mLoop, Settings("a", 19402, key), {});
  CHECK_TRUE(receiver.IsListening());
  for (std::uint64_t i = 1; i <= kMessages; ++i) {
    sender.Send({ "127.0.0.1", base::PortNumber(19401) }, Heartbeat(i));
  }
  mLoop.Run();
  CHECK_EQUAL(kMessages, received);
}

// Guards against accepting messages of peers without the fleet key.
TEST(Transport, PeersWithoutTheFleetKeyAreRefused)
{
  Transport receiver(mLoop, Settings("b", 19403, peer::CreateFleetKey()),
                     [](const protocol::Envelope&) { FAIL("unauthorized"); });
  FleetKey otherKey = peer::CreateFleetKey();
  Transport otherKeySender(mLoop, Settings("a", 19404, otherKey), {});
  Transport unencryptedSender(mLoop, Settings("c", 19405, std::nullopt), {});
  for (int i = 0; i < 5; ++i) {
    otherKeySender.Send({ "127.0.0.1", base::PortNumber(19403) }, Heartbeat(1));
    unencryptedSender.Send({ "127.0.0.1", base::PortNumber(19403) },
                           Heartbeat(1));
  }
  mLoop.After(std::chrono::milliseconds(400), [&] { mLoop.Stop(); });
  mLoop.Run();
  CHECK_EQUAL(0, receiver.Counts().mReceived);
}

// Guards against unbounded memory growth while a peer is unreachable.
TEST(Transport, FullQueueDropsMessages)
{
  Transport sender(mLoop, Settings("a", 19406, std::nullopt), {});
  for (std::uint64_t i = 0; i < 1000; ++i) {
    sender.Send({ "127.0.0.1", base::PortNumber(19499) }, Heartbeat(i));
  }
  CHECK_TRUE(sender.Counts().mQueueFull > 0);
  CHECK_TRUE(sender.Counts().mSent < 300);
}

TEST(Transport, KeyFormatIsValidated)
{
  CHECK_TRUE(peer::IsValid(peer::CreateFleetKey()));
  CHECK_FALSE(peer::IsValid({ "short", "short" }));
}
