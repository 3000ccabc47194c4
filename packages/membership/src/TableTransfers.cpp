#include "membership/src/TableTransfers.h"

#include <algorithm>

namespace auburnmux::membership {

base::HostId AppendSlice(const HostTable& aTable, const base::HostId& aLast,
                         std::vector<HostUpdate>& aOut)
{
  base::HostId last = aLast;
  auto it = aTable.All().upper_bound(aLast);
  for (; it != aTable.All().end() && aOut.size() < kMaxUpdates; ++it) {
    HostUpdate update = it->second.mUpdate;
    if (it->second.mIsLocalSuspicion) {
      update.mState = HostState::Alive;
    }
    aOut.push_back(std::move(update));
    last = it->first;
  }
  return it == aTable.All().end() ? base::HostId() : last;
}

void TableTransfers::Start(const PeerAddress& aTo)
{
  const bool isRunning = std::any_of(
    mTransfers.begin(), mTransfers.end(),
    [&](const Transfer& aTransfer) { return aTransfer.mTo == aTo; });
  if (!isRunning && mTransfers.size() < kMaxTransfers) {
    mTransfers.push_back({ aTo, {} });
  }
}

std::optional<TableTransfers::Part> TableTransfers::Next(
  const HostTable& aTable)
{
  if (mTransfers.empty()) {
    return std::nullopt;
  }
  Transfer& transfer = mTransfers.front();
  Part part{ transfer.mTo, {} };
  transfer.mLast = AppendSlice(aTable, transfer.mLast, part.mUpdates);
  if (transfer.mLast.IsEmpty()) {
    mTransfers.pop_front();
  }
  return part;
}

} // namespace auburnmux::membership
