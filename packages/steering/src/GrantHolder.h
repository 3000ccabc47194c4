#pragma once

#include "steering/src/Grant.h"

#include <map>
#include <optional>

namespace auburnmux::steering {

/**
 * Sending side of the steering for one service: the grants that this host
 * holds and the slots of them in use. The lifetime of a grant is counted from
 * the sending of its request, so that network delay can only shorten it.
 */
class GrantHolder
{
public:
  /** A grant is no longer used this long before its expiry, so that forwarded
   * requests reach the receiver in time. */
  static constexpr base::Duration kUseMargin = std::chrono::milliseconds(100);
  /** A request for slots without a reply is abandoned after this time. */
  static constexpr base::Duration kRequestTimeout =
    std::chrono::milliseconds(500);

  /** Receiver and grant token of a forwarded request. */
  struct Use
  {
    base::HostId mReceiver;
    GrantToken mToken;
  };

  /** \param aIncarnation orders the requests across restarts of this host */
  explicit GrantHolder(base::Incarnation aIncarnation);

  /** \returns the request to send; none while an earlier one to the receiver is
   * unanswered or if too many receivers are tracked. */
  std::optional<SlotRequest> RequestSlots(base::TimePoint aNow,
                                          const base::HostId& aReceiver,
                                          base::SlotCount aSlots);
  /** Takes the offer for the last request; other offers are ignored. */
  void OnOffer(const base::HostId& aReceiver, const GrantOffer& aOffer);
  /** Occupies a slot of the grant from \a aReceiver.
   * \returns the use to attach to the forwarded request; none without a free
   * slot */
  std::optional<Use> TryUse(base::TimePoint aNow,
                            const base::HostId& aReceiver);
  void OnFinished(const base::HostId& aReceiver);
  /** The receiver didn't admit the request: the grant is dropped. */
  void OnRefused(const Use& aUse);

  /** \returns the granted slots, including those in use; 0 if the grant can no
   * longer be used. */
  base::SlotCount GrantedSlots(base::TimePoint aNow,
                               const base::HostId& aReceiver) const;
  base::SlotCount InUse(const base::HostId& aReceiver) const;
  base::SlotCount TotalInUse() const;
  /** \returns the remaining time in which the grant can be used. */
  base::Duration RemainingTime(base::TimePoint aNow,
                               const base::HostId& aReceiver) const;
  /** \returns whether the receiver recently granted less than was requested or
   * is late with its reply. */
  bool IsExhausted(base::TimePoint aNow, const base::HostId& aReceiver) const;

private:
  struct HeldGrant
  {
    GrantToken mToken;
    base::SlotCount mSlots;
    base::TimePoint mUsableUntil;
    base::SlotCount mInUse;
    Correlation mLastRequest;
    base::TimePoint mRequestedAt;
    base::SlotCount mWanted;
    bool mIsPending = false;
    bool mIsExhausted = false;
  };

  /** Removes receivers without a valid grant, a slot in use or a recent
   * request. */
  void RemoveIdle(base::TimePoint aNow);
  const HeldGrant* Find(const base::HostId& aReceiver) const;

  Correlation mLastCorrelation;
  std::map<base::HostId, HeldGrant> mHeldGrants;
};

} // namespace auburnmux::steering
