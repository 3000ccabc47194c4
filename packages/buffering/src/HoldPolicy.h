#pragma once

#include "base/Base.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace auburnmux::buffering {

/** Bounds of the bytes that a host holds for slow clients and upstreams. */
struct HoldSettings
{
  /** Bound of all exchanges together. */
  base::ByteCount mHostBound{ std::uint64_t{ 32 } << 20U };
  /** Bound of what one exchange holds of its response, or of a request body
   * that is sent while it arrives, while the host holds little. */
  base::ByteCount mExchangeBound{ std::uint64_t{ 256 } << 10U };
  /** Same for a request body that is buffered whole, so that it can be sent
   * again. */
  base::ByteCount mBodyBound{ std::uint64_t{ 1 } << 20U };
  /** Bound of either when the host holds as much as it may. */
  base::ByteCount mMinBound{ std::uint64_t{ 16 } << 10U };
  /** Time without progress after which a client may be closed. */
  base::Duration mIdleTime = std::chrono::seconds(2);
};

/** A client for which the host holds bytes. */
struct HeldClient
{
  base::ByteCount mHeld;
  /** When it last read, or sent a part of the body that the host waits for. */
  base::TimePoint mLastProgress;
};

/**
 * Decides how much a host holds for slow clients and upstreams. Up to half of
 * the host's bound, every exchange has its full bound. Above, the bound of an
 * exchange shrinks linearly, to the minimum when the host's bound is reached.
 * From then on, no request with a larger body is accepted, and idle clients are
 * closed.
 */
class HoldPolicy
{
public:
  explicit HoldPolicy(const HoldSettings& aSettings);

  /** \returns how much an exchange may hold now of a response or of a body that
   * is sent while it arrives. */
  base::ByteCount ExchangeBound(base::ByteCount aTotal) const
  {
    return Scale(mSettings.mExchangeBound, aTotal);
  }
  /** \returns up to which size a request body is buffered whole now. */
  base::ByteCount BodyBound(base::ByteCount aTotal) const
  {
    return Scale(mSettings.mBodyBound, aTotal);
  }
  /** \returns whether the host holds as much as it may. */
  bool IsFull(base::ByteCount aTotal) const
  {
    return aTotal >= mSettings.mHostBound;
  }
  /** \returns whether bounds are reduced, so that the progress of clients is to
   * be observed. */
  bool IsShrinking(base::ByteCount aTotal) const
  {
    return aTotal > ShrinkFrom();
  }
  /** \returns whether a request with a body of \a aBody bytes, as far as is
   * known, may be taken in before it runs. */
  bool AcceptsBody(base::ByteCount aBody, base::ByteCount aTotal) const
  {
    return !IsFull(aTotal) || aBody <= mSettings.mMinBound;
  }
  /** \returns the index of the client to close: of those that are idle the one
   * with the most held bytes, and none while the host is below its bound. */
  std::optional<std::size_t> ClientToClose(
    base::TimePoint aNow, base::ByteCount aTotal,
    const std::vector<HeldClient>& aClients) const;

  const HoldSettings& Settings() const { return mSettings; }

private:
  base::ByteCount ShrinkFrom() const
  {
    return base::ByteCount(mSettings.mHostBound.Count() / 2);
  }
  base::ByteCount Scale(base::ByteCount aFull, base::ByteCount aTotal) const;

  HoldSettings mSettings;
};

} // namespace auburnmux::buffering
