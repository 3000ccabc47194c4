#pragma once

#include "base/Base.h"
#include "config/src/Snapshot.h"
#include "config/src/VersionTag.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>

namespace auburnmux::config {

/** Who offered a snapshot. */
struct FromPlatform
{};
struct FromPeer
{
  base::HostId mHost;
};
using OfferSource = std::variant<FromPlatform, FromPeer>;

/** A snapshot that a peer or the platform sent. */
struct SnapshotOffer
{
  VersionTag mTag;
  std::string mBytes;
  OfferSource mSource;
  /** When it was published, as the sender names it. */
  base::WallTime mPublishedAt = {};
};

/** The offer is in force now. */
struct OfferAccepted
{
  base::ConfigVersion mVersion;
};

/** The version in force is the same or higher; nothing changed. */
struct OfferStale
{
  base::ConfigVersion mInForce;
};

/** The offer can't be used; the last good snapshot stays in force. */
struct OfferRejected
{
  enum class Reason : std::uint8_t
  {
    /** The bytes don't match the digest. */
    WrongDigest,
    /** Another digest is in force under the same version. */
    VersionConflict,
    /** The bytes are no snapshot that this version can use. */
    Unusable
  };

  Reason mReason = Reason::Unusable;
  VersionTag mTag;
  std::string mDetail;
};

using OfferResult = std::variant<OfferAccepted, OfferStale, OfferRejected>;

/**
 * The snapshot in force at one host. Only a higher valid version replaces it,
 * whatever order offers come in; the last good one stays otherwise.
 */
class ConfigState
{
public:
  /** Takes an offer. Never throws on any bytes. */
  OfferResult Offer(const SnapshotOffer& aOffer, base::TimePoint aNow);

  /**
   * Notes the platform's current version, as read from its pointer.
   * \returns whether the host should fetch it.
   */
  bool NotePlatformVersion(const VersionTag& aTag, base::TimePoint aNow);

  /**
   * \returns whether a snapshot is worth fetching: its version is higher and
   * its content hasn't been found unusable before.
   */
  bool Wants(const VersionTag& aTag) const;

  /** \returns the snapshot in force, or null before the first. */
  const Snapshot* InForce() const;
  /** \returns version and digest in force; version 0 before the first. */
  const VersionTag& Tag() const { return mTag; }
  /** \returns the encoded snapshot in force, to answer peers. */
  const std::string& Bytes() const { return mBytes; }

  /** \returns when the snapshot in force was published. */
  base::WallTime PublishedAt() const { return mPublishedAt; }

  /** \returns whether the platform has named the version in force. */
  bool IsConfirmed() const { return mIsConfirmed; }
  /** \returns the time since the version in force was accepted. */
  base::Duration Age(base::TimePoint aNow) const;
  /** \returns the time since the platform last named the version in force,
   * or nothing when it never did. */
  std::optional<base::Duration> SinceConfirmed(base::TimePoint aNow) const;

  /** \returns the last rejected offers, oldest first, at most 16. */
  const std::deque<OfferRejected>& Rejected() const { return mRejected; }

private:
  OfferResult Reject(OfferRejected aRejection);

  std::optional<Snapshot> mSnapshot;
  VersionTag mTag;
  std::string mBytes;
  base::WallTime mPublishedAt;
  bool mIsConfirmed = false;
  base::TimePoint mAcceptedAt;
  base::TimePoint mConfirmedAt;
  std::deque<OfferRejected> mRejected;
};

} // namespace auburnmux::config
