#include "idempotency/src/SegmentCodec.h"

#include <boost/leaf/error.hpp>
#include <limits>
#include <utility>

#include "protocol/Protocol.h"

namespace auburnmux::idempotency {
namespace {

namespace leaf = boost::leaf;

constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 999;
/** Bytes allowed for the tag and length that precede a record in its batch. */
constexpr std::size_t kRecordFramingBytes = 4;

void PutKind(const ClaimedRecord& aRecord, protocol::ClaimRecord* aOut)
{
  aOut->set_kind(protocol::ClaimRecord::CLAIMED);
  aOut->set_request_hash(aRecord.mRequestHash.Count());
}

void PutKind(const RanRecord& aRecord, protocol::ClaimRecord* aOut)
{
  const Outcome& outcome = aRecord.mOutcome;
  aOut->set_kind(protocol::ClaimRecord::RAN);
  aOut->set_status(outcome.mStatus.Count());
  aOut->set_body(outcome.mBody);
  aOut->set_content_type(outcome.mContentType);
  aOut->set_is_body_omitted(outcome.mIsBodyOmitted);
}

void PutKind(const ReleasedRecord& /*aRecord*/, protocol::ClaimRecord* aOut)
{
  aOut->set_kind(protocol::ClaimRecord::RELEASED);
}

void PutRecord(const ClaimRecord& aRecord, protocol::ClaimRecord* aOut)
{
  const ClaimHolder& holder = HolderOf(aRecord);
  aOut->set_key(std::string(KeyOf(aRecord).Bytes()));
  aOut->set_holder(holder.mHost.Text());
  aOut->set_holder_incarnation(holder.mIncarnation.Count());
  aOut->set_attempt(holder.mAttempt.Count());
  std::visit([aOut](const auto& aIt) { PutKind(aIt, aOut); }, aRecord);
}

leaf::result<Outcome> GetOutcome(const protocol::ClaimRecord& aIn)
{
  if (aIn.status() < kMinStatus || aIn.status() > kMaxStatus ||
      aIn.body().size() > kMaxOutcomeBodyBytes ||
      aIn.content_type().size() > kMaxContentTypeBytes) {
    return leaf::new_error(SegmentFault::BadOutcome);
  }
  return Outcome{ StatusCode(static_cast<std::uint16_t>(aIn.status())),
                  aIn.body(), aIn.content_type(), aIn.is_body_omitted() };
}

leaf::result<ClaimRecord> GetRecord(const protocol::ClaimRecord& aIn)
{
  const auto key = IdempotencyKey::FromBytes(aIn.key());
  if (!key) {
    return leaf::new_error(SegmentFault::BadKey);
  }
  if (aIn.holder().empty() || aIn.holder().size() > kMaxHolderBytes) {
    return leaf::new_error(SegmentFault::BadHolder);
  }
  ClaimHolder holder{ base::HostId(aIn.holder()),
                      base::Incarnation(aIn.holder_incarnation()),
                      AttemptNumber(aIn.attempt()) };
  switch (aIn.kind()) {
    case protocol::ClaimRecord::CLAIMED:
      return ClaimRecord(ClaimedRecord{ *key, std::move(holder),
                                        RequestHash(aIn.request_hash()) });
    case protocol::ClaimRecord::RELEASED:
      return ClaimRecord(ReleasedRecord{ *key, std::move(holder) });
    case protocol::ClaimRecord::RAN: {
      BOOST_LEAF_AUTO(outcome, GetOutcome(aIn));
      return ClaimRecord(
        RanRecord{ *key, std::move(holder), std::move(outcome) });
    }
    default:
      return leaf::new_error(SegmentFault::UnknownKind);
  }
}

leaf::result<ClaimBatch> GetBatch(const protocol::ClaimBatch& aIn)
{
  if (aIn.records_size() > static_cast<int>(kMaxBatchRecords)) {
    return leaf::new_error(SegmentFault::TooManyRecords);
  }
  ClaimBatch batch{ BatchId(aIn.batch_id()), {} };
  batch.mRecords.reserve(static_cast<std::size_t>(aIn.records_size()));
  for (const auto& it : aIn.records()) {
    BOOST_LEAF_AUTO(record, GetRecord(it));
    batch.mRecords.push_back(std::move(record));
  }
  return batch;
}

} // namespace

std::string EncodeAppend(const ClaimBatch& aBatch, bool aIsSealed)
{
  protocol::ClaimSegment segment;
  auto* batch = segment.add_batches();
  batch->set_batch_id(aBatch.mId.Count());
  for (const ClaimRecord& it : aBatch.mRecords) {
    PutRecord(it, batch->add_records());
  }
  segment.set_is_sealed(aIsSealed);
  return segment.SerializeAsString();
}

std::size_t EncodedSize(const ClaimRecord& aRecord)
{
  protocol::ClaimRecord record;
  PutRecord(aRecord, &record);
  return record.ByteSizeLong() + kRecordFramingBytes;
}

bool IsStorable(const ClaimRecord& aRecord)
{
  // Encoding accepts text fields that aren't UTF-8, but parsing rejects them.
  const ClaimBatch batch{ BatchId(0), { aRecord } };
  return static_cast<bool>(DecodeSegment(EncodeAppend(batch, false)));
}

leaf::result<ClaimSegment> DecodeSegment(std::string_view aBytes)
{
  if (aBytes.size() > kMaxSegmentBytes) {
    return leaf::new_error(SegmentFault::TooLarge);
  }
  protocol::ClaimSegment in;
  if (!in.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    return leaf::new_error(SegmentFault::Malformed);
  }
  ClaimSegment segment{ {}, in.is_sealed() };
  segment.mBatches.reserve(static_cast<std::size_t>(in.batches_size()));
  for (const auto& it : in.batches()) {
    BOOST_LEAF_AUTO(batch, GetBatch(it));
    segment.mBatches.push_back(std::move(batch));
  }
  return segment;
}

} // namespace auburnmux::idempotency
