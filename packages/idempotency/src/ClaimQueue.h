#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "base/Base.h"
#include "idempotency/src/ClaimLogAction.h"
#include "idempotency/src/SegmentChain.h"

namespace auburnmux::idempotency {

/** State of the query to the holder of the key that a claim waits for. */
enum class QueryProgress
{
  NotAsked,
  Asked,
  /** The holder doesn't know the outcome, or its request is still running. */
  NotKnown,
  /** The holder's answer is being recorded. */
  Resolving,
};

/** A claim that has no answer yet. */
struct WaitingClaim
{
  ClaimCall mCall;
  base::TimePoint mArrivedAt;
  /** The chain's LastStarted() when the claim arrived. */
  OperationNumber mOperationAtArrival;
  QueryProgress mQuery = QueryProgress::NotAsked;
  /** The holder that was queried, and when. If the key's holder changes, the
   * new holder is queried. */
  ClaimHolder mAskedHolder{};
  base::TimePoint mAskedAt{};
  /** The index has no holder for the key, so the claim may be appended. */
  bool mIsAppendable = false;
  /** The chain must be read again before the claim can be answered. */
  bool mNeedsRefresh = false;
};

/** The claims that wait for an answer, in order of arrival. */
class ClaimQueue
{
public:
  static constexpr std::size_t kMaxClaims = 1024;

  /** Adds a claim, unless a claim of the same attempt is already queued.
   * \returns false if the queue is full. */
  bool Add(WaitingClaim aClaim)
  {
    const bool isKnown = std::any_of(
      mClaims.begin(), mClaims.end(), [&aClaim](const WaitingClaim& aIt) {
        return aIt.mCall.mHolder == aClaim.mCall.mHolder;
      });
    if (isKnown) {
      return true;
    }
    if (mClaims.size() >= kMaxClaims) {
      return false;
    }
    mClaims.push_back(std::move(aClaim));
    return true;
  }

  /** Removes the claims for which \a aVisitor returns true. */
  template<typename Visitor>
  void RemoveIf(Visitor aVisitor)
  {
    std::size_t kept = 0;
    for (std::size_t it = 0; it < mClaims.size(); ++it) {
      if (!aVisitor(mClaims[it])) {
        if (kept != it) {
          mClaims[kept] = std::move(mClaims[it]);
        }
        ++kept;
      }
    }
    mClaims.erase(mClaims.begin() + static_cast<std::ptrdiff_t>(kept),
                  mClaims.end());
  }

  std::vector<WaitingClaim>& Items() { return mClaims; }
  const std::vector<WaitingClaim>& Items() const { return mClaims; }
  std::size_t Size() const { return mClaims.size(); }

private:
  std::vector<WaitingClaim> mClaims;
};

} // namespace auburnmux::idempotency
