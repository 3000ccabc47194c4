#pragma once

#include "quotas/src/Settings.h"
#include "quotas/src/StampClock.h"

#include <unordered_map>

namespace auburnmux::quotas {

/**
 * The hosts that report to this one in one role. A client is attached for
 * kLease after the stamp of this host that it last echoed, however long its
 * report was under way.
 */
class ClientTable
{
public:
  enum class Verdict
  {
    /** Late or out of order: not to be answered. */
    Dropped,
    Accepted,
    /** Accepted; the client was attached and wants to attach elsewhere. */
    Released
  };

  explicit ClientTable(const StampClock& aClock)
    : mClock(aClock)
  {
  }

  Verdict OnReport(base::TimePoint aNow, const base::HostId& aFrom,
                   const Report& aReport);
  /** \returns the sums over the attached clients. */
  HostTotals Totals(base::TimePoint aNow) const;

private:
  struct Client
  {
    Stamp mLastStamp;
    HostTotals mHosts;
    base::TimePoint mAttachedUntil;
    base::TimePoint mLastSeen;
  };

  void RemoveIdle(base::TimePoint aNow);

  const StampClock& mClock;
  std::unordered_map<base::HostId, Client> mClients;
  base::TimePoint mNextRemoval;
};

} // namespace auburnmux::quotas
