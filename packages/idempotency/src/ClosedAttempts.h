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
 * The attempts that ended without a dispatch. Only they may be released: an
 * attempt that isn't found may have dispatched and been forgotten.
 */
class ClosedAttempts
{
public:
  /** Attempts kept; the oldest is forgotten first. */
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

  /** Drops the oldest attempts while their key is older than \a aSince. */
  void Forget(base::WallTime aSince)
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
