#pragma once

#include "steering/src/Grant.h"

#include <optional>
#include <vector>

namespace auburnmux::steering {

/** What a receiver has granted to one sender and what of it is in use. */
class GrantAccount
{
public:
  /** Live grants to one sender; each replaces the one before at the sender. */
  static constexpr std::size_t kMaxIssues = 32;

  struct Issue
  {
    GrantOffer mOffer;
    base::TimePoint mExpiry;
  };

  /** Drops grants that expired before or at \a aNow. */
  void Expire(base::TimePoint aNow);
  /** \returns whether \a aCorrelation was already answered. */
  bool IsAnswered(Correlation aCorrelation) const;
  /** \returns the live offer that answered \a aCorrelation. */
  std::optional<GrantOffer> Answer(Correlation aCorrelation) const;
  bool CanAdd() const { return mIssues.size() < kMaxIssues; }
  void Add(const GrantOffer& aOffer, base::TimePoint aExpiry);
  /** \returns the slots of the live grant with \a aToken; 0 without one. */
  base::SlotCount SlotsOf(GrantToken aToken) const;

  /** \returns the slots that must not be granted to another sender. */
  base::SlotCount Committed() const;
  base::SlotCount InUse() const { return mInUse; }
  void Use() { mInUse += base::SlotCount(1); }
  void Finish();

private:
  std::vector<Issue> mIssues;
  Correlation mLastAnswered;
  base::SlotCount mInUse;
};

} // namespace auburnmux::steering
