#pragma once

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>

#include "base/Base.h"
#include "idempotency/src/ClaimRecord.h"
#include "idempotency/src/HolderTable.h"

namespace auburnmux::idempotency {

/** What an index keeps for one key; a key without an entry is free. */
struct ClaimEntry
{
  RequestHash mRequestHash;
  AttemptNumber mAttempt;
  HolderSlot mHolder;
  /** Set once the request is known to have run. */
  std::unique_ptr<Outcome> mOutcome;
};

static_assert(sizeof(IdempotencyKey) + sizeof(ClaimEntry) <= 48,
              "a claim costs 48 bytes and its share of free table slots");

/** A key that is held, as found in an index. */
struct ClaimView
{
  RequestHash mRequestHash;
  ClaimHolder mHolder;
  /** Null while no outcome is recorded; valid until the next change. */
  const Outcome* mOutcome = nullptr;
};

/**
 * The state of a partition's keys, as given by the records of its log in
 * order. Replaying a record again changes nothing.
 */
class ClaimIndex
{
public:
  /** \a aBodyBudget bounds the bodies kept; the oldest are omitted first. */
  explicit ClaimIndex(base::ByteCount aBodyBudget);

  /** Applies the next record of the log; keys older than \a aSince, which are
   * refused anyway, are left out. */
  void Apply(const ClaimRecord& aRecord, base::WallTime aSince);

  std::optional<ClaimView> Find(const IdempotencyKey& aKey) const;

  /** Drops the keys older than \a aSince. */
  void Forget(base::WallTime aSince);
  void Clear();

  std::size_t Size() const { return mEntries.size(); }
  base::ByteCount BodyBytes() const { return mBodyBytes; }

private:
  using Entries = boost::unordered_flat_map<IdempotencyKey, ClaimEntry,
                                            std::hash<IdempotencyKey>>;

  void Put(const ClaimedRecord& aRecord);
  void Put(const RanRecord& aRecord);
  void Put(const ReleasedRecord& aRecord);
  Entries::iterator FindHeldBy(const IdempotencyKey& aKey,
                               const ClaimHolder& aHolder);
  bool IsHeldBy(const ClaimEntry& aEntry, const ClaimHolder& aHolder) const;
  void OmitOldBodies();
  void Drop(ClaimEntry& aEntry);

  base::ByteCount mBodyBudget;
  base::ByteCount mBodyBytes;
  Entries mEntries;
  HolderTable mHolders;
  /** Keys whose outcome has a body, oldest record first. */
  std::deque<IdempotencyKey> mBodyOrder;
};

} // namespace auburnmux::idempotency
