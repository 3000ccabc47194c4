#pragma once

#include "cluster/Cluster.h"
#include "quotas/Quotas.h"
#include "telemetry/Telemetry.h"

#include <functional>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>

namespace auburnmux::entry {

/** \returns the identity of a customer in quotas. */
quotas::CustomerHash HashCustomer(std::string_view aName);

/** What a QuotaNode uses; all must outlive it. */
struct QuotaEnvironment
{
  http::Loop& mLoop;
  telemetry::Metrics& mMetrics;
  peer::Transport& mTransport;
  const cluster::ClusterNode& mCluster;
  const membership::ActiveHostCounter& mActiveHosts;
};

/**
 * Connects the decision on quotas to the event loop, the peer transport and the
 * view of the hosts. It uses the time since boot, which includes suspension.
 */
class QuotaNode
{
public:
  /** Called with Taken or Refused. */
  using Answer = std::function<void(const quotas::Decision&)>;

  /** \param aCentres all data centres of the deployment
   * \param aRandom differs between processes */
  QuotaNode(QuotaEnvironment aEnvironment,
            std::set<base::DataCentreId> aCentres,
            const quotas::QuotaSettings& aSettings, std::uint64_t aRandom);
  ~QuotaNode();
  QuotaNode(const QuotaNode&) = delete;
  QuotaNode& operator=(const QuotaNode&) = delete;

  /** Sets the customers that have a quota, and their quotas. */
  void SetQuotas(const quotas::QuotaTable& aQuotas);
  /** To be called when the view changes, and about once a second. */
  void OnViewChanged();
  /** Handles a message on quotas. Ignores invalid ones. \returns false for
   * other messages */
  bool OnMessage(const protocol::Envelope& aEnvelope);

  /**
   * Takes a token for a request. The request must be sent before the token
   * expires, so it should be taken just before the request is sent.
   *
   * \param aAnswer called later if the result is Waiting, and only then
   * \returns Taken at once if the customer has no quota
   */
  quotas::Decision Take(quotas::CustomerHash aCustomer, Answer aAnswer);
  /** Ends the wait of a request; its Answer isn't called. */
  void Cancel(quotas::WaiterId aWaiter);
  /** Takes back the token of a request that hasn't run and never will. */
  void GiveBack(const quotas::Token& aToken);
  /** \returns whether a request may still be run with the token. */
  static bool IsValid(const quotas::Token& aToken);

private:
  struct ActionVisitor;

  /** \returns the time since boot. */
  static base::TimePoint Now();
  void RefreshFleet();
  void Execute(const quotas::Actions& aActions);
  void OnAnswer(quotas::WaiterId aWaiter, const quotas::Decision& aDecision);
  void CountDecision(const quotas::Decision& aDecision);
  void ScheduleWake();

  QuotaEnvironment mEnvironment;
  std::set<base::DataCentreId> mCentres;
  quotas::QuotaControl mControl;
  std::unordered_map<quotas::WaiterId, Answer> mWaiting;
  /** Whether this host has had a quota or a message on quotas. */
  bool mIsActive = false;
  std::optional<http::Loop::TimerId> mTimer;
  base::TimePoint mWake = base::TimePoint::max();
};

} // namespace auburnmux::entry
