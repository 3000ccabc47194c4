#include "protocol/Protocol.h"

#include "base/test/support/Property.h"

using namespace auburnmux::protocol;

namespace {

std::string Message(const std::string& aSender, std::uint64_t aIncarnation,
                    std::uint64_t aSequence)
{
  Envelope envelope;
  envelope.set_protocol_version(kProtocolVersion);
  envelope.set_sender(aSender);
  envelope.set_sender_incarnation(aIncarnation);
  envelope.set_sequence(aSequence);
  envelope.mutable_heartbeat()->set_number(aSequence);
  return envelope.SerializeAsString();
}

} // namespace

TEST_GROUP(EnvelopeGuard)
{
  EnvelopeGuard mGuard;
  Envelope mEnvelope;

  Rejection Accept(const std::string& aBytes)
  {
    return mGuard.Accept(aBytes, mEnvelope);
  }
};

// Guards against a replayed or reordered message that acts a second time.
TEST(EnvelopeGuard, SequenceOfASenderOnlyRises)
{
  CHECK_PROPERTY("accepted numbers rise", [] {
    EnvelopeGuard guard;
    std::pair<std::uint64_t, std::uint64_t> last{ 0, 0 };
    const auto history = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(1, 4), rc::gen::inRange(1, 20)));
    for (const auto& [incarnation, sequence] : history) {
      Envelope envelope;
      const std::pair<std::uint64_t, std::uint64_t> number{ incarnation,
                                                            sequence };
      const Rejection result =
        guard.Accept(Message("h1", number.first, number.second), envelope);
      RC_ASSERT((result == Rejection::None) == (number > last));
      last = std::max(last, number);
    }
  });
}

TEST(EnvelopeGuard, GarbageNeverPasses)
{
  CHECK_PROPERTY("no readable sender, no message",
                 [](const std::string& aBytes) {
                   EnvelopeGuard guard;
                   Envelope envelope;
                   RC_ASSERT(guard.Accept(aBytes, envelope) != Rejection::None);
                 });
}

TEST(EnvelopeGuard, OtherVersionsAndLargeMessagesAreDropped)
{
  Envelope envelope;
  envelope.set_protocol_version(kProtocolVersion + 1);
  envelope.set_sender("h1");
  CHECK_TRUE(Accept(envelope.SerializeAsString()) == Rejection::OtherVersion);

  envelope.set_protocol_version(kProtocolVersion);
  envelope.mutable_claim_outcome()->set_body(std::string(100000, 'x'));
  CHECK_TRUE(Accept(envelope.SerializeAsString()) == Rejection::TooLarge);
  CHECK_TRUE(Accept(std::string(2000000, 'x')) == Rejection::TooLarge);
}

// Guards against memory that grows with made-up senders.
TEST(EnvelopeGuard, SendersAreBounded)
{
  int accepted = 0;
  for (int i = 0; i < 10000; ++i) {
    const std::string sender = "h" + std::to_string(i);
    accepted += Accept(Message(sender, 1, 1)) == Rejection::None ? 1 : 0;
  }
  CHECK_EQUAL(4096, accepted);
}
