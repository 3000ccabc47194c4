#pragma once

#include "base/Base.h"
#include "config/src/ServiceFile.h"
#include "config/src/TopologyFile.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace auburnmux::config {

/** Everything that one publish puts in force. */
struct Snapshot
{
  TopologyFile mTopology;
  std::vector<ServiceFile> mServices;

  /** \returns the service, or null. */
  const ServiceFile* FindService(const base::ServiceId& aService) const;
};

/** 128-bit xxHash of an encoded snapshot, as 32 hexadecimal digits. */
using Digest = base::StrongId<struct DigestTag>;

/** Number of the encoding that this version writes and reads. */
constexpr std::uint64_t kSnapshotFormat = 1;

/** Largest encoded snapshot that is published or read. */
constexpr base::ByteCount kMaxSnapshotBytes{ 8'000'000 };

/** Why bytes are no usable snapshot. */
struct SnapshotError
{
  enum class Kind : std::uint8_t
  {
    TooLarge,
    NotJson,
    UnknownFormat,
    Invalid
  };

  Kind mKind = Kind::Invalid;
  /** The first findings, for a log line. */
  std::string mDetail;
};

/**
 * Sorts services by name, upstreams by id, routes by path and methods, and
 * the other lists by name, which is the order in a snapshot.
 */
void SortSnapshot(Snapshot& aSnapshot);

/**
 * \returns the canonical encoding: JSON with sorted keys and lists and every
 * value written out, so that equal configurations have equal digests.
 */
std::string EncodeSnapshot(const Snapshot& aSnapshot);

/** \returns the snapshot of the bytes. Never throws on any input. */
std::variant<Snapshot, SnapshotError> DecodeSnapshot(std::string_view aBytes);

/** \returns the digest that names the encoded snapshot. */
Digest DigestOf(std::string_view aBytes);

} // namespace auburnmux::config
