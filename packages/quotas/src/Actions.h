#pragma once

#include "quotas/src/Messages.h"

#include <variant>
#include <vector>

namespace auburnmux::quotas {

/** Identifies a request that waits for a token. */
using WaiterId = base::Quantity<struct WaiterIdTag>;

/** Permission to run one request. */
struct Token
{
  CustomerHash mCustomer;
  base::TimePoint mExpiry;
};

/** The request may run. */
struct Taken
{
  Token mToken;
};

/** The request waits; an Admit or a Refuse follows. */
struct Waiting
{
  WaiterId mWaiter;
};

/** Why a request doesn't get a token. */
enum class RefusalReason
{
  OverQuota,
  /** There was no answer in time. */
  NoAnswer
};

/** The request may not run now. */
struct Refused
{
  base::Duration mRetryAfter{};
  RefusalReason mReason = RefusalReason::OverQuota;
};

using Decision = std::variant<Taken, Waiting, Refused>;

/** Send a report to another host. */
struct SendReport
{
  base::HostId mTo;
  Report mReport;
};

/** Send a grant to another host. */
struct SendGrant
{
  base::HostId mTo;
  Grant mGrant;
};

/** A waiting request may run. */
struct Admit
{
  WaiterId mWaiter;
  Token mToken;
};

/** A waiting request doesn't get a token. */
struct Refuse
{
  WaiterId mWaiter;
  Refused mRefusal;
};

/** This host asks another host than before. */
struct TargetChanged
{
  Level mLevel = Level::Aggregator;
  base::HostId mHost;
};

using Action =
  std::variant<SendReport, SendGrant, Admit, Refuse, TargetChanged>;
using Actions = std::vector<Action>;

} // namespace auburnmux::quotas
