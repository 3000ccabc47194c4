#pragma once

#include "config/src/Snapshot.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnmux::config {

/** One difference between two snapshots, worded for people. */
struct SnapshotChange
{
  enum class Kind : std::uint8_t
  {
    Added,
    Removed,
    Changed
  };

  Kind mKind = Kind::Changed;
  /** E.g. "upstream sc-01 of subsidy-core". */
  std::string mSubject;
  /** E.g. "slots 9 -> 8"; empty unless changed. */
  std::string mDetail;
};

/** \returns the differences, ordered by subject. */
std::vector<SnapshotChange> DiffSnapshots(const Snapshot& aBefore,
                                          const Snapshot& aAfter);

/** \returns "+ SUBJECT", "- SUBJECT" or "~ SUBJECT: DETAIL". */
std::string ChangeText(const SnapshotChange& aChange);

} // namespace auburnmux::config
