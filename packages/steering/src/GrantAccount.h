#pragma once

#include "steering/src/Grant.h"

#include <optional>
#include <vector>

namespace auburnmux::steering {

/** The slots that a receiver granted to one sender and those in use. */
class GrantAccount
{
public:
  /** Limit on the unexpired grants to one sender. At the sender each grant
   * replaces the previous one. */
  static constexpr std::size_t kMaxLiveGrants = 32;

  struct IssuedGrant
  {
    GrantOffer mOffer;
    base::TimePoint mExpiry;
  };

  /** Removes grants that expired before or at \a aNow. */
  void Expire(base::TimePoint aNow);
  /** \returns whether the request \a aCorrelation was already answered. */
  bool IsAnswered(Correlation aCorrelation) const;
  /** \returns the unexpired offer that answered the request
   * \a aCorrelation. */
  std::optional<GrantOffer> FindOffer(Correlation aCorrelation) const;
  bool CanAdd() const { return mLiveGrants.size() < kMaxLiveGrants; }
  void Add(const GrantOffer& aOffer, base::TimePoint aExpiry);
  /** \returns the slots of the unexpired grant with \a aToken; 0 without one.
   */
  base::SlotCount SlotsOf(GrantToken aToken) const;

  /** \returns the slots that must not be granted to another sender: the largest
   * unexpired grant or, if that is more, the slots in use. */
  base::SlotCount Committed() const;
  base::SlotCount InUse() const { return mInUse; }
  void Use() { mInUse += base::SlotCount(1); }
  void Finish();

private:
  std::vector<IssuedGrant> mLiveGrants;
  Correlation mLastAnswered;
  base::SlotCount mInUse;
};

} // namespace auburnmux::steering
