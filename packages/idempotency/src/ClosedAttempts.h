#pragma once

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <deque>
#include <optional>

#include "base/Base.h"
#include "idempotency/src/ClaimHolder.h"
#include "idempotency/src/IdempotencyKey.h"

namespace auburnmux::idempotency {

/**
 * The attempts that ended without a dispatch. Only the claims of these attempts
 * may be released: an attempt that isn't found here may have dispatched and
 * have been removed since.
 */
class ClosedAttempts
{
public:
  /** Maximum number of attempts; beyond it the oldest is removed. */
  static constexpr std::size_t kMaxAttempts = 65536;

  void Add(AttemptNumber aAttempt, const IdempotencyKey& aKey)
  {
    if (mKeys.emplace(aAttempt, aKey).second) {
      mOrder.push_back(aAttempt);
    }
    if (mOrder.size() > kMaxAttempts) {
      DropOldest();
    }
  }

  std::optional<IdempotencyKey> Find(AttemptNumber aAttempt) const
  {
    const auto it = mKeys.find(aAttempt);
    return it == mKeys.end() ? std::nullopt : std::make_optional(it->second);
  }

  /** Removes attempts, in the order they were added, until one has a key that
   * isn't older than \a aSince. */
  void RemoveOlderThan(base::WallTime aSince)
  {
    while (!mOrder.empty() && Find(mOrder.front())->Time() < aSince) {
      DropOldest();
    }
  }

  std::size_t Size() const { return mOrder.size(); }

private:
  void DropOldest()
  {
    mKeys.erase(mOrder.front());
    mOrder.pop_front();
  }

  boost::unordered_flat_map<AttemptNumber, IdempotencyKey,
                            std::hash<AttemptNumber>>
    mKeys;
  std::deque<AttemptNumber> mOrder;
};

} // namespace auburnmux::idempotency
