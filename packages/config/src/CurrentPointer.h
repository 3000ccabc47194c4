#pragma once

#include "base/Base.h"
#include "config/src/VersionTag.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace auburnmux::config {

/** Random name of one run of publishing, as hexadecimal digits. */
using PublicationId = base::StrongId<struct PublicationIdTag>;

/** One version that was put in force, and by whom. */
struct PublishedVersion
{
  VersionTag mTag;
  PublicationId mPublication;
  base::WallTime mPublishedAt{};
  std::string mPublishedBy;
};

/** Number of objects that hold the parts of one snapshot. */
using PartCount = base::Quantity<struct PartCountTag, std::uint32_t>;

/**
 * The value of `config/current`. It carries the versions before it, so that a
 * publisher whose answer was lost can tell what became of its write even after
 * others have published.
 */
struct CurrentPointer
{
  PublishedVersion mCurrent;
  PartCount mParts{ 1 };
  base::ByteCount mBytes;
  /** Newest first, without the current one, at most kMaxPrevious. */
  std::vector<PublishedVersion> mPrevious;

  /** \returns the entry of a version, or null when it isn't listed. */
  const PublishedVersion* Find(base::ConfigVersion aVersion) const;
};

/** Name of the object with the pointer. */
constexpr const char* kCurrentObject = "config/current";
/** Earlier versions that a pointer lists. */
constexpr std::size_t kMaxPrevious = 32;
/** The platform holds values up to 1 MB; the rest is room for its encoding. */
constexpr base::ByteCount kMaxPartBytes{ 900'000 };

std::string EncodePointer(const CurrentPointer& aPointer);

/** \returns the pointer, or why the bytes are none. Never throws. */
std::variant<CurrentPointer, SnapshotError> DecodePointer(
  std::string_view aBytes);

/** \returns the number of parts that a snapshot of this size needs. */
PartCount PartsFor(base::ByteCount aBytes);

/**
 * \returns the names of the objects that hold a snapshot, in the order in
 * which their values are joined.
 */
std::vector<std::string> PartNames(const Digest& aDigest, PartCount aParts);

} // namespace auburnmux::config
