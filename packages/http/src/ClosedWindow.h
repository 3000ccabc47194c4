#pragma once

#include "base/Base.h"

#include <cstdint>
#include <optional>

namespace auburnmux::http::internal {

/** What the kernel reports of a connection's sent and queued bytes. */
struct SendProgress
{
  /** Whether bytes wait for the peer to open its receive window, while all that
   * were sent are acknowledged. */
  bool mIsWindowClosed = false;
  /** Probes of the closed window that the kernel has sent. */
  std::uint32_t mProbes = 0;
  /** Time since the peer last acknowledged anything. */
  base::Duration mSinceAck{};
};

/**
 * Tells a peer that reads nothing for a while from one that is dead, while the
 * peer's receive window is closed. The kernel probes such a window: a live
 * peer acknowledges the probes however long it reads nothing.
 */
class ClosedWindow
{
public:
  /** \param aTimeout time for which a probe may stay unanswered */
  explicit ClosedWindow(base::Duration aTimeout)
    : mTimeout(aTimeout)
  {
  }

  /** Takes the latest report of the kernel; call it several times within the
   * timeout. */
  void Update(base::TimePoint aNow, const SendProgress& aProgress);
  bool IsClosed() const { return mIsClosed; }
  /** \returns whether a probe is unanswered for longer than the timeout. */
  bool IsPeerSilent() const { return mIsPeerSilent; }

private:
  base::Duration mTimeout;
  bool mIsClosed = false;
  bool mIsPeerSilent = false;
  base::TimePoint mUpdatedAt;
  std::uint32_t mProbes = 0;
  /** When the oldest probe was seen that no acknowledgement has followed. */
  std::optional<base::TimePoint> mUnansweredSince;
};

} // namespace auburnmux::http::internal
