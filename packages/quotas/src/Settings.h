#pragma once

#include "base/Base.h"

#include <algorithm>

namespace auburnmux::quotas {

/** By how much a quota may be exceeded: in each \a mWindow at most
 * (rate x window + burst) x (1 + mOver) + mSlack requests run. */
struct QuotaSettings
{
  base::Duration mWindow = std::chrono::seconds(5);
  double mOver = 0.1;
  double mSlack = 20;

  /** \returns the time by which the use of a token may come after its issue
   * without breaking the bound. */
  base::Duration Tolerance() const
  {
    const std::chrono::duration<double> time = mWindow;
    return std::clamp<base::Duration>(
      std::chrono::duration_cast<base::Duration>(time * mOver),
      std::chrono::milliseconds(200), std::chrono::seconds(1));
  }

  /** \returns the validity of a token. The rest of the tolerance is left for
   * ShortBurst() and for hosts that are counted twice in rare cases. */
  base::Duration TokenLifetime() const { return Tolerance() * 4 / 5; }

  /** \returns the time whose inflow a root may save in addition to the burst.
   * Without it, customers with a small burst would lose what flows in between
   * two reports. */
  base::Duration ShortBurst() const { return Tolerance() / 10; }

  /** \returns the least share with which a root may save a whole token when the
   * share of the burst is less than one. The sum of the shares is at most 1, so
   * that such roots exceed the bursts by less than the slack. */
  double LeastWholeShare() const { return 1 / (0.8 * mSlack + 0.01); }
};

/** Least time between two reports to a host. */
constexpr base::Duration kReportSpacing = std::chrono::milliseconds(20);

/** Least time between reports to a root for requests that are only expected:
 * bytes between regions cost money. */
constexpr base::Duration kAheadSpacing = std::chrono::milliseconds(100);

/** Interval of reports that only renew the attachment. Two of them fit into
 * kLease. */
constexpr base::Duration kRenewal = std::chrono::milliseconds(400);

/** Time after which an unanswered report is sent again. */
constexpr base::Duration kRepeatAfter = std::chrono::milliseconds(150);

/** Silence after which the next host is asked. */
constexpr base::Duration kSilence = std::chrono::milliseconds(300);

/** Time for which a host that was silent is not asked again. Membership detects
 * a dead host in 3.2 s. */
constexpr base::Duration kSilentHostPause = std::chrono::seconds(5);

/** The same for a host that has never answered: it may only have started, and
 * not know this host yet. */
constexpr base::Duration kUnknownHostPause = std::chrono::milliseconds(300);

/** Validity of an attachment after the receiver's stamp that the sender last
 * echoed. */
constexpr base::Duration kLease = std::chrono::seconds(1);

/** Maximum time for which a request waits for a token. */
constexpr base::Duration kMaxWait = std::chrono::milliseconds(150);

/** Time after which an aggregator answers without having heard from its root,
 * so that its leaves don't take it for dead. */
constexpr base::Duration kMaxHold = std::chrono::milliseconds(110);

/** `Retry-After` where it isn't known when there will be tokens. */
constexpr base::Duration kUnknownRetry = std::chrono::milliseconds(300);

/** Maximum time for which an answer without tokens is remembered. */
constexpr base::Duration kMaxDenial = std::chrono::seconds(1);

/** Period for whose demand tokens are fetched ahead. */
constexpr base::Duration kAheadPeriod = std::chrono::milliseconds(200);

/** Time after a change of the quotas in which reports contain the quota, as the
 * root may not have it yet. A configuration reaches all hosts in 3 s. */
constexpr base::Duration kQuotaSpread = std::chrono::seconds(5);

/** Time after which unused state is removed. */
constexpr base::Duration kIdleRetention = std::chrono::seconds(10);

/** Bounds of what messages can make a host store. */
constexpr std::size_t kMaxClients = 4096;
constexpr std::size_t kMaxCustomers = 16384;
constexpr std::size_t kMaxWaiters = 4096;

} // namespace auburnmux::quotas
