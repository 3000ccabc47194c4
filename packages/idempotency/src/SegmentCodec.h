#pragma once

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>

#include "idempotency/src/ClaimRecord.h"

namespace auburnmux::idempotency {

/** A segment is sealed by the write with which it reaches this size. */
constexpr std::size_t kSealAtBytes = std::size_t{ 64 } * 1024;
/** Maximum size of all records in one batch. */
constexpr std::size_t kMaxBatchBytes = std::size_t{ 64 } * 1024;
constexpr std::size_t kMaxBatchRecords = 512;
/** Maximum size of a segment: just below the seal size, plus one batch and the
 * framing. */
constexpr std::size_t kMaxSegmentBytes = kSealAtBytes + kMaxBatchBytes + 8192;
constexpr std::size_t kMaxHolderBytes = 255;

/** Why the bytes of a segment were rejected. */
enum class SegmentFault
{
  TooLarge,
  Malformed,
  BadKey,
  BadHolder,
  BadOutcome,
  UnknownKind,
  TooManyRecords,
};

/**
 * \returns the encoding of a segment that holds only \a aBatch. Appending these
 * bytes to an unsealed segment adds the batch and, with \a aIsSealed, seals the
 * segment, because protobuf merges concatenated messages.
 */
std::string EncodeAppend(const ClaimBatch& aBatch, bool aIsSealed);

/** \returns the encoded size of \a aRecord within a batch, in bytes. */
std::size_t EncodedSize(const ClaimRecord& aRecord);

/**
 * \returns whether DecodeSegment accepts \a aRecord. Other records must never
 * be written, as they would make the whole segment unreadable.
 */
bool IsStorable(const ClaimRecord& aRecord);

/** \returns the decoded segment, or a SegmentFault as a LEAF error. */
boost::leaf::result<ClaimSegment> DecodeSegment(std::string_view aBytes);

} // namespace auburnmux::idempotency
