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

/** An index entry for one key; a key without an entry is free. */
struct ClaimEntry
{
  RequestHash mRequestHash;
  AttemptNumber mAttempt;
  HolderSlot mHolder;
  /** Set once the request is known to have run. */
  std::unique_ptr<Outcome> mOutcome;
};

static_assert(
  sizeof(IdempotencyKey) + sizeof(ClaimEntry) <= 48,
  "a claim must take at most 48 bytes, besides its share of free slots");

/** The state of a held key, as returned by ClaimIndex::Find. */
struct ClaimView
{
  RequestHash mRequestHash;
  ClaimHolder mHolder;
  /** Null if no outcome is recorded; valid until the index changes. */
  const Outcome* mOutcome = nullptr;
};

/**
 * The state of a partition's keys, built by applying the records of its log in
 * order. Applying a record twice in a row has the same effect as applying it
 * once.
 */
class ClaimIndex
{
public:
  /** \a aBodyBudget limits the total size of the outcome bodies; beyond it the
   * oldest bodies are omitted. */
  explicit ClaimIndex(base::ByteCount aBodyBudget);

  /** Applies the next record of the log. Records of keys older than \a aSince
   * are skipped, as claims of these keys are refused anyway. */
  void Apply(const ClaimRecord& aRecord, base::WallTime aSince);

  std::optional<ClaimView> Find(const IdempotencyKey& aKey) const;

  /** Removes the keys older than \a aSince. */
  void RemoveOlderThan(base::WallTime aSince);
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
