#include "idempotency/test/support/Keys.h"

#include "protocol/Protocol.h"

#include "base/test/support/Property.h"

using namespace auburnmux::idempotency; // NOLINT(google-build-using-namespace)
using auburnmux::idempotency::test::kStartWall;
using auburnmux::idempotency::test::MakeKey;
namespace base = auburnmux::base;
namespace protocol = auburnmux::protocol;

namespace {

constexpr const char* kRfcExample = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";

ClaimHolder MakeHolder()
{
  return { base::HostId("host-a"), base::Incarnation(5), AttemptNumber(9) };
}

ClaimBatch MakeBatch()
{
  const auto key = MakeKey(kStartWall, 1);
  return { BatchId(77),
           { ClaimedRecord{ key, MakeHolder(), RequestHash(3) },
             RanRecord{ key,
                        MakeHolder(),
                        { StatusCode(201), "body", "text/plain", false } },
             ReleasedRecord{ key, MakeHolder() } } };
}

bool IsReadable(const std::string& aBytes)
{
  return static_cast<bool>(DecodeSegment(aBytes));
}

/** \returns an encoded segment whose RanRecord is changed by \a aChange. */
template<typename Change>
std::string EncodeChanged(Change aChange)
{
  protocol::ClaimSegment segment;
  segment.ParseFromString(EncodeAppend(MakeBatch(), false));
  aChange(segment.mutable_batches(0)->mutable_records(1));
  return segment.SerializeAsString();
}

} // namespace

TEST_GROUP(IdempotencyKey){};

// Guards against a wrong creation time, which would make keys expire early or
// never. The key is the example of RFC 9562, appendix A.6.
TEST(IdempotencyKey, ReadsTimeOfRfcExample)
{
  const auto key = IdempotencyKey::Parse(kRfcExample);
  CHECK_TRUE(key.has_value());
  LONGS_EQUAL(0x017F22E279B0, key->Time().time_since_epoch().count());
  STRCMP_EQUAL(kRfcExample, key->Text().c_str());
  CHECK_TRUE(key == IdempotencyKey::Parse("\"" + key->Text() + "\""));
}

// Guards against accepting malformed text or UUIDs of other versions as keys.
TEST(IdempotencyKey, RejectsMalformedTextAndOtherVersions)
{
  for (const char* it :
       { "", "\"\"", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
         "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
         "017f22e2-79b0-7cc3-98c4-dc0c0c07398", "017f22e279b07cc398c4dc0c0c07",
         "017f22e2-79b0-7cc3-98c4-dc0c0c07398g",
         "017f22e2x79b0-7cc3-98c4-dc0c0c07398f",
         "{17f22e2-79b0-7cc3-98c4-dc0c0c07398f}" }) {
    CHECK_TRUE(!IdempotencyKey::Parse(it));
  }
}

// Guards against equal hashes of requests whose parts concatenate to the same
// text.
TEST(IdempotencyKey, RequestHashSeparatesParts)
{
  const auto hash = HashRequest({ "s", "POST", "/a", "bc" });
  CHECK_TRUE(hash == HashRequest({ "s", "POST", "/a", "bc" }));
  CHECK_TRUE(hash != HashRequest({ "s", "POST", "/ab", "c" }));
  CHECK_TRUE(hash != HashRequest({ "s", "PUT", "/a", "bc" }));
}

TEST_GROUP(SegmentCodec){};

// Guards against fields lost in encoding, and against appended bytes that don't
// decode as one segment.
TEST(SegmentCodec, AppendsReadBackAsOneSegment)
{
  const auto bytes =
    EncodeAppend(MakeBatch(), false) + EncodeAppend(MakeBatch(), true);
  const auto segment = DecodeSegment(bytes);
  CHECK_TRUE(static_cast<bool>(segment));
  CHECK_TRUE(segment->mIsSealed);
  LONGS_EQUAL(2, segment->mBatches.size());
  const ClaimBatch& batch = segment->mBatches[1];
  CHECK_TRUE(batch.mId == BatchId(77));
  const auto& ran = std::get<RanRecord>(batch.mRecords[1]);
  CHECK_TRUE(ran.mHolder == MakeHolder());
  CHECK_TRUE(ran.mOutcome ==
             std::get<RanRecord>(MakeBatch().mRecords[1]).mOutcome);
  CHECK_TRUE(std::get<ClaimedRecord>(batch.mRecords[0]).mRequestHash ==
             RequestHash(3));
}

// Guards against accepting records with fields out of bounds or of an unknown
// kind.
TEST(SegmentCodec, RejectsRecordsOutOfBounds)
{
  using Record = protocol::ClaimRecord;
  CHECK_TRUE(IsReadable(EncodeChanged([](Record*) {})));
  CHECK_TRUE(
    !IsReadable(EncodeChanged([](Record* aIt) { aIt->set_key("short"); })));
  CHECK_TRUE(
    !IsReadable(EncodeChanged([](Record* aIt) { aIt->clear_holder(); })));
  CHECK_TRUE(
    !IsReadable(EncodeChanged([](Record* aIt) { aIt->set_status(7); })));
  CHECK_TRUE(
    !IsReadable(EncodeChanged([](Record* aIt) { aIt->clear_kind(); })));
  CHECK_TRUE(!IsReadable(EncodeChanged([](Record* aIt) {
    aIt->set_body(std::string(kMaxOutcomeBodyBytes + 1, 'x'));
  })));
  CHECK_TRUE(!IsReadable(std::string(kMaxSegmentBytes + 1, '\0')));
}

// Guards against a crash or a partly read segment when the bytes are corrupt.
TEST(SegmentCodec, TruncatedOrChangedSegmentsAreReadWholeOrNotAtAll)
{
  const auto bytes = EncodeAppend(MakeBatch(), true);
  CHECK_PROPERTY("arbitrary changes", [&bytes] {
    auto changed = bytes;
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    changed[at] = *rc::gen::arbitrary<char>();
    const auto segment = DecodeSegment(changed);
    const bool isWhole = segment && segment->mBatches.size() <= 1;
    const bool isRejected = !segment;
    RC_ASSERT((isRejected || isWhole));
    const auto cut = DecodeSegment(bytes.substr(0, at));
    // A segment truncated between two fields lacks the batch or the seal.
    const bool isPrefix = cut && !cut->mIsSealed;
    const bool isCutRejected = !cut;
    RC_ASSERT((isCutRejected || isPrefix));
  });
}

// Guards against an upstream's response that makes a segment unreadable for all
// hosts: text that isn't UTF-8 can be encoded but not parsed.
TEST(SegmentCodec, UpstreamOutcomesNeverMakeASegmentUnreadable)
{
  const auto key = MakeKey(kStartWall, 1);
  CHECK_PROPERTY("bounded outcomes are storable", [key] {
    const auto body = *rc::gen::arbitrary<std::string>();
    const auto type = *rc::gen::arbitrary<std::string>();
    const Outcome outcome{ StatusCode(200), body, type + "\xff", false };
    RC_ASSERT(IsStorable(RanRecord{ key, MakeHolder(), Bounded(outcome) }));
  });
  // Checked only once, as protobuf prints a line for each such text.
  CHECK_TRUE(!IsStorable(
    RanRecord{ key, MakeHolder(), { StatusCode(200), "", "\xff", false } }));
}
