#pragma once

#include "membership/src/HostTable.h"

#include <deque>
#include <optional>
#include <vector>

namespace auburnmux::membership {

/** Queue of transfers of the whole host table, to hosts that joined through
 * this host. */
class TableTransfers
{
public:
  /** Maximum concurrent transfers. Hosts that join beyond it learn the table
   * from other hosts. */
  static constexpr std::size_t kMaxTransfers = 8;
  static constexpr std::size_t kMessagesPerTick = 2;

  struct Part
  {
    PeerAddress mTo;
    std::vector<HostUpdate> mUpdates;
  };

  /** Starts a transfer to \a aTo unless one is running or the limit is
   * reached. */
  void Start(const PeerAddress& aTo);
  /** \returns the next part of the oldest transfer, or nothing if there is
   * none. */
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
 * \a aOut holds `kMaxUpdates`. \returns the last id appended, or an empty id
 * at the end of the table.
 */
base::HostId AppendSlice(const HostTable& aTable, const base::HostId& aLast,
                         std::vector<HostUpdate>& aOut);

} // namespace auburnmux::membership
