#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "base/Base.h"
#include "idempotency/src/ClaimLogAction.h"
#include "idempotency/src/SegmentChain.h"

namespace auburnmux::idempotency {

/** What is known from the holder of the key that a claim waits for. */
enum class QueryProgress
{
  NotAsked,
  Asked,
  /** The holder may have dispatched: the outcome isn't known. */
  NotKnown,
  /** The holder's answer is being recorded. */
  Resolving,
};

/** A claim that has no answer yet. */
struct WaitingClaim
{
  ClaimCall mCall;
  base::TimePoint mArrived;
  /** The operation of the chain that had started last on arrival. */
  OperationNumber mArrival;
  QueryProgress mQuery = QueryProgress::NotAsked;
  /** Whom the query went to, and when; another holder is asked anew. */
  ClaimHolder mAskedHolder{};
  base::TimePoint mAsked{};
  /** The key is free as far as is known: the claim goes into a batch. */
  bool mIsAppendable = false;
  /** The chain must be read again before the claim can be answered. */
  bool mNeedsRefresh = false;
};

/** The claims without an answer, in order of arrival. */
class ClaimQueue
{
public:
  static constexpr std::size_t kMaxClaims = 1024;

  /** \returns false if the queue is full. A repeated claim is kept once. */
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

  /** Drops the claims for which \a aVisitor returns true. */
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
