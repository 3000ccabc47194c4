#include "entry/src/QuotaNode.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace auburnmux::entry {

quotas::CustomerHash HashCustomer(std::string_view aName)
{
  return quotas::CustomerHash(base::Hash64(aName));
}

struct QuotaNode::ActionVisitor
{
  QuotaNode& mNode;

  void operator()(const quotas::SendReport& aAction) const
  {
    Send(aAction.mTo, cluster::ToQuotaReport(aAction.mReport));
  }
  void operator()(const quotas::SendGrant& aAction) const
  {
    Send(aAction.mTo, cluster::ToQuotaGrant(aAction.mGrant));
  }
  void operator()(const quotas::Admit& aAction) const
  {
    mNode.OnAnswer(aAction.mWaiter, quotas::Taken{ aAction.mToken });
  }
  void operator()(const quotas::Refuse& aAction) const
  {
    mNode.OnAnswer(aAction.mWaiter, aAction.mRefusal);
  }
  void operator()(const quotas::TargetChanged& aAction) const
  {
    const bool isRoot = aAction.mLevel == quotas::Level::Root;
    base::LogInfo(base::LogLine("quota_target")
                    .With("role", isRoot ? "root" : "aggregator")
                    .With("host", aAction.mHost));
    mNode.mEnvironment.mMetrics.Count(
      "auburnmux_quota_target_changes_total",
      { { "role", isRoot ? "root" : "aggregator" } });
  }

  void Send(const base::HostId& aTo, protocol::Envelope aEnvelope) const
  {
    if (const auto endpoint = mNode.mEnvironment.mCluster.PeerEndpoint(aTo)) {
      mNode.mEnvironment.mTransport.Send(*endpoint, std::move(aEnvelope));
    }
  }
};

QuotaNode::QuotaNode(QuotaEnvironment aEnvironment,
                     std::set<base::DataCentreId> aCentres,
                     const quotas::QuotaSettings& aSettings,
                     std::uint64_t aRandom)
  : mEnvironment(aEnvironment)
  , mCentres(std::move(aCentres))
  , mControl(aEnvironment.mCluster.Self().mId, aSettings, Now(), aRandom)
{
}

QuotaNode::~QuotaNode()
{
  if (mTimer) {
    mEnvironment.mLoop.Cancel(*mTimer);
  }
}

base::TimePoint QuotaNode::Now()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return base::TimePoint(std::chrono::seconds(time.tv_sec) +
                         std::chrono::nanoseconds(time.tv_nsec));
}

bool QuotaNode::IsValid(const quotas::Token& aToken)
{
  return Now() < aToken.mExpiry;
}

void QuotaNode::SetQuotas(const quotas::QuotaTable& aQuotas)
{
  if (aQuotas.empty() && !mIsActive) {
    return;
  }
  if (!std::exchange(mIsActive, true)) {
    RefreshFleet();
  }
  Execute(mControl.SetQuotas(Now(), aQuotas));
}

void QuotaNode::OnViewChanged()
{
  if (mIsActive) {
    RefreshFleet();
  }
}

void QuotaNode::RefreshFleet()
{
  const base::TimePoint now = Now();
  const cluster::ClusterNode& cluster = mEnvironment.mCluster;
  // The counter of hosts uses the loop's clock.
  Execute(mControl.SetFleet(
    now, quotas::DescribeFleet(mEnvironment.mLoop.Now(), cluster.Self(),
                               cluster.IsLeaving(), mCentres, cluster.View(),
                               mEnvironment.mActiveHosts)));
  mEnvironment.mMetrics.Set("auburnmux_quota_root_share", {},
                            mControl.RootShare(now));
}

bool QuotaNode::OnMessage(const protocol::Envelope& aEnvelope)
{
  if (!aEnvelope.has_quota_report() && !aEnvelope.has_quota_grant()) {
    return false;
  }
  if (!std::exchange(mIsActive, true)) {
    RefreshFleet();
  }
  const base::HostId sender(aEnvelope.sender());
  if (aEnvelope.has_quota_report()) {
    if (const auto report = cluster::FromWire(aEnvelope.quota_report())) {
      Execute(mControl.OnReport(Now(), sender, *report));
    }
  } else if (const auto grant = cluster::FromWire(aEnvelope.quota_grant())) {
    Execute(mControl.OnGrant(Now(), sender, *grant));
  }
  return true;
}

quotas::Decision QuotaNode::Take(quotas::CustomerHash aCustomer, Answer aAnswer)
{
  if (!mIsActive) {
    return quotas::Taken{ { aCustomer, base::TimePoint::max() } };
  }
  quotas::Actions actions;
  quotas::Decision decision = mControl.Take(Now(), aCustomer, actions);
  if (const auto* waiting = std::get_if<quotas::Waiting>(&decision)) {
    const quotas::WaiterId waiter = waiting->mWaiter;
    // A host that is its own aggregator and root may have the answer already.
    const auto answer = std::find_if(
      actions.begin(), actions.end(), [&](const quotas::Action& aIt) {
        const auto* admit = std::get_if<quotas::Admit>(&aIt);
        const auto* refuse = std::get_if<quotas::Refuse>(&aIt);
        return (admit != nullptr && admit->mWaiter == waiter) ||
               (refuse != nullptr && refuse->mWaiter == waiter);
      });
    if (answer == actions.end()) {
      mWaiting[waiter] = std::move(aAnswer);
    } else if (const auto* admit = std::get_if<quotas::Admit>(&*answer)) {
      decision = quotas::Taken{ admit->mToken };
    } else {
      decision = std::get<quotas::Refuse>(*answer).mRefusal;
    }
  }
  if (!std::holds_alternative<quotas::Waiting>(decision)) {
    CountDecision(decision);
  }
  Execute(actions);
  return decision;
}

void QuotaNode::Cancel(quotas::WaiterId aWaiter)
{
  mWaiting.erase(aWaiter);
  mControl.Cancel(aWaiter);
}

void QuotaNode::GiveBack(const quotas::Token& aToken)
{
  if (mIsActive) {
    mEnvironment.mMetrics.Count("auburnmux_quota_tokens_given_back_total");
    Execute(mControl.GiveBack(Now(), aToken));
  }
}

void QuotaNode::OnAnswer(quotas::WaiterId aWaiter,
                         const quotas::Decision& aDecision)
{
  const auto it = mWaiting.find(aWaiter);
  if (it == mWaiting.end()) {
    // Cancelled by the answer to another request, or answered by Take().
    return;
  }
  const Answer answer = std::move(it->second);
  mWaiting.erase(it);
  CountDecision(aDecision);
  answer(aDecision);
}

void QuotaNode::CountDecision(const quotas::Decision& aDecision)
{
  std::string outcome = "taken";
  if (const auto* refused = std::get_if<quotas::Refused>(&aDecision)) {
    outcome = refused->mReason == quotas::RefusalReason::OverQuota
                ? "over_quota"
                : "no_answer";
  } else if (std::get<quotas::Taken>(aDecision).mToken.mExpiry ==
             base::TimePoint::max()) {
    return;
  }
  mEnvironment.mMetrics.Count("auburnmux_quota_decisions_total",
                              { { "outcome", outcome } });
}

void QuotaNode::Execute(const quotas::Actions& aActions)
{
  for (const quotas::Action& it : aActions) {
    std::visit(ActionVisitor{ *this }, it);
  }
  ScheduleWake();
}

void QuotaNode::ScheduleWake()
{
  const base::TimePoint now = Now();
  const base::TimePoint wake = mControl.NextWake(now);
  if (wake == mWake) {
    return;
  }
  if (mTimer) {
    mEnvironment.mLoop.Cancel(*mTimer);
    mTimer.reset();
  }
  mWake = wake;
  if (wake == base::TimePoint::max()) {
    return;
  }
  mTimer = mEnvironment.mLoop.After(
    wake > now ? wake - now : base::Duration::zero(), [this] {
      mTimer.reset();
      mWake = base::TimePoint::max();
      Execute(mControl.OnTime(Now()));
    });
}

} // namespace auburnmux::entry
