#pragma once

#include "steering/src/Grant.h"

#include <map>
#include <optional>

namespace auburnmux::steering {

/**
 * Sending side of the steering for one service: the grants that this host
 * holds and what it uses of them. A grant counts from before it was asked
 * for, so that delay only shortens it.
 */
class GrantBook
{
public:
  /** A use ends this long before the expiry, so that it arrives in time. */
  static constexpr base::Duration kUseMargin = std::chrono::milliseconds(100);
  /** A request without an answer is given up after this. */
  static constexpr base::Duration kAskTimeout = std::chrono::milliseconds(500);

  /** What a forwarded request carries. */
  struct Use
  {
    base::HostId mReceiver;
    GrantToken mToken;
  };

  /** \a aIncarnation orders the requests over restarts of this host. */
  explicit GrantBook(base::Incarnation aIncarnation);

  /** \returns the request to send; none while one is unanswered. */
  std::optional<GrantAsk> Ask(base::TimePoint aNow,
                              const base::HostId& aReceiver,
                              base::SlotCount aSlots);
  /** Takes the answer to the last request; others are ignored. */
  void OnOffer(const base::HostId& aReceiver, const GrantOffer& aOffer);
  /** \returns what a request to \a aReceiver carries; none without room. */
  std::optional<Use> TryUse(base::TimePoint aNow,
                            const base::HostId& aReceiver);
  void OnFinished(const base::HostId& aReceiver);
  /** The receiver didn't admit a use: the grant is dropped. */
  void OnRefused(const Use& aUse);

  /** \returns the slots granted for uses that start now. */
  base::SlotCount Slots(base::TimePoint aNow,
                        const base::HostId& aReceiver) const;
  base::SlotCount InUse(const base::HostId& aReceiver) const;
  base::SlotCount TotalInUse() const;
  /** \returns the time for which the grant can still be used. */
  base::Duration Remaining(base::TimePoint aNow,
                           const base::HostId& aReceiver) const;
  /** \returns whether the receiver recently gave less than was wanted. */
  bool IsExhausted(base::TimePoint aNow, const base::HostId& aReceiver) const;

private:
  struct Holding
  {
    GrantToken mToken;
    base::SlotCount mSlots;
    base::TimePoint mUntil;
    base::SlotCount mInUse;
    Correlation mAsked;
    base::TimePoint mAskedAt;
    base::SlotCount mWanted;
    bool mIsPending = false;
    bool mIsExhausted = false;
  };

  /** Makes room by dropping receivers without a grant, use or request. */
  void ForgetIdle(base::TimePoint aNow);
  const Holding* Find(const base::HostId& aReceiver) const;

  Correlation mLast;
  std::map<base::HostId, Holding> mHoldings;
};

} // namespace auburnmux::steering
