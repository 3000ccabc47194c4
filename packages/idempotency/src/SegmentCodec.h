#pragma once

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>

#include "idempotency/src/ClaimRecord.h"

namespace auburnmux::idempotency {

/** A segment that reaches this size is sealed in the same update. */
constexpr std::size_t kSealAtBytes = std::size_t{ 64 } * 1024;
/** Most bytes of records in one batch. */
constexpr std::size_t kMaxBatchBytes = std::size_t{ 64 } * 1024;
constexpr std::size_t kMaxBatchRecords = 512;
/** A segment just below the seal size, one batch and their framing. */
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
 * \returns the bytes of a segment that holds only \a aBatch. Appended to the
 * bytes of an unsealed segment they add the batch and, with \a aIsSealed, seal
 * it: protobuf merges concatenated messages.
 */
std::string EncodeAppend(const ClaimBatch& aBatch, bool aIsSealed);

/** \returns the encoded size of \a aRecord within a batch, in bytes. */
std::size_t EncodedSize(const ClaimRecord& aRecord);

/**
 * \returns whether DecodeSegment accepts \a aRecord. A record that it rejects
 * must never be written: it would make the whole segment unreadable.
 */
bool IsStorable(const ClaimRecord& aRecord);

/** \returns the segment, or a SegmentFault as a LEAF error. */
boost::leaf::result<ClaimSegment> DecodeSegment(std::string_view aBytes);

} // namespace auburnmux::idempotency
