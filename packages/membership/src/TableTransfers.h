#pragma once

#include "membership/src/HostTable.h"

#include <deque>
#include <optional>
#include <vector>

namespace auburnmux::membership {

/** Sends the whole table to hosts that joined through this host. */
class TableTransfers
{
public:
  /** Further joining hosts learn the table from other hosts. */
  static constexpr std::size_t kMaxTransfers = 8;
  static constexpr std::size_t kMessagesPerTick = 2;

  struct Part
  {
    PeerAddress mTo;
    std::vector<HostUpdate> mUpdates;
  };

  void Start(const PeerAddress& aTo);
  /** \returns the next part of the oldest transfer; none when all are done. */
  std::optional<Part> Next(const HostTable& aTable);

private:
  struct Transfer
  {
    PeerAddress mTo;
    base::HostId mLast;
  };

  std::deque<Transfer> mTransfers;
};

/**
 * Appends entries of \a aTable that follow \a aLast in id order until
 * \a aOut holds `kMaxUpdates`. \returns the last id appended; empty at the
 * end of the table.
 */
base::HostId AppendSlice(const HostTable& aTable, const base::HostId& aLast,
                         std::vector<HostUpdate>& aOut);

} // namespace auburnmux::membership
