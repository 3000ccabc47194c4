#pragma once

#include "daemon/src/ClaimInterface.h"
#include "daemon/src/Refusal.h"
#include "daemon/src/RequestPlan.h"
#include "daemon/src/SpillInterface.h"
#include "daemon/src/UpstreamAttempt.h"

#include "retries/Retries.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnmux::daemon {

class ServiceRuntime;

/**
 * Handles one request of a caller from its head to the end of its response:
 * admission, claim of the idempotency key, queueing, attempts, hedging and
 * response.
 */
class RequestForwarder final
  : public AttemptOwner
  , public ClaimObserver
  , public std::enable_shared_from_this<RequestForwarder>
{
public:
  RequestForwarder(ServiceRuntime& aService, limits::QueuedId aId,
                   std::shared_ptr<http::ServerExchange> aExchange,
                   RequestPlan aPlan);

  void Start();

  const RequestPlan& Plan() const { return mPlan; }
  limits::QueuedId Id() const { return mId; }
  limits::QueueEntry MakeQueueEntry() const;
  const std::vector<std::shared_ptr<UpstreamAttempt>>& Attempts() const
  {
    return mAttempts;
  }

  /** Dispatches the request after the queue popped it. \returns false when it
   * was queued again because every upstream is busy. */
  bool OnDequeued();
  /** Called when the queue drops the request before dispatch. */
  void OnRemovedFromQueue(const Refusal& aRefusal);
  /** Checks the deadline, the hedge delay and stalled connections. */
  void OnTick(base::TimePoint aNow);
  /** Forwards a queued request to another data centre if a grant is available.
   * \returns whether it was forwarded. */
  bool TrySpillQueued();
  /** \returns whether the request waits in the queue. */
  bool IsQueued() const { return mIsQueued; }
  /** \returns whether the request was admitted against a grant: it was
   * forwarded by another host or comes from a client of another region. */
  bool IsAdmittedByGrant() const { return mAdmittedSender.has_value(); }
  /** Cancels an attempt that exceeded the straggler bound. */
  void OnStraggler(base::AttemptId aAttempt);

  // Events of the caller's connection.
  void OnRequestBody(std::string_view aPart);
  void OnRequestEnd();
  void OnCallerWritable();
  void OnCallerGone();
  /** The host is about to exit: the caller gets a response now. */
  void OnResponseDue();

  void OnAttemptHead(UpstreamAttempt& aAttempt) override;
  void OnAttemptBody(UpstreamAttempt& aAttempt,
                     std::string_view aPart) override;
  void OnAttemptEnd(UpstreamAttempt& aAttempt) override;
  void OnAttemptFailure(UpstreamAttempt& aAttempt,
                        const http::Failure& aFailure) override;
  void OnAttemptWritable(UpstreamAttempt& aAttempt) override;

  void OnClaimGranted() override;
  void OnClaimNotRun(idempotency::NotRunReason aReason) override;
  void OnClaimNotKnown() override;
  void OnClaimRan(const idempotency::Outcome& aOutcome) override;

private:
  /** Reading from one side of the relay pauses when more bytes than this are
   * pending on the other side. */
  static constexpr std::size_t kMaxRelayBytes = std::size_t{ 256 } * 1024;
  static constexpr std::chrono::seconds kRetryAfter{ 1 };

  enum class DispatchResult
  {
    Started,
    Busy,
    NoneUsable
  };

  bool IsStreamed() const { return mPlan.mClass == base::WorkClass::Long; }
  bool IsNonIdempotent() const
  {
    return mPlan.mKind == base::WorkKind::NonIdempotent;
  }
  void Admit();
  bool AdmitByGrant();
  void Claim();
  void DispatchOrQueue();
  DispatchResult TryDispatch();
  bool TrySpill();
  void StartAttempt(const AttemptTarget& aTarget,
                    const http::Endpoint& aEndpoint, std::string aTargetPath,
                    http::Headers aHeaders);
  void StartUpstreamAttempt(const base::UpstreamId& aUpstream);
  http::Headers ForwardedHeaders() const;
  void MaybeHedge(base::TimePoint aNow);
  bool CheckStalls(base::TimePoint aNow);
  void OnDeadline(base::TimePoint aNow);
  /** \returns what can be said now about the outcome of the request. */
  base::WorkOutcome OutcomeSoFar() const;
  /** Ends the request without a response of an upstream. Attempts at work that
   * isn't idempotent run on, so that their outcome is recorded. */
  void EndWithoutResponse(const Refusal& aRefusal);

  void ReportUpstreamSignals(const UpstreamAttempt& aAttempt);
  void CommitTo(UpstreamAttempt& aAttempt);
  void Succeed(UpstreamAttempt& aAttempt);
  void Fail(UpstreamAttempt& aAttempt, base::FailureKind aKind,
            bool aMayHaveReached);
  void DecideAfterFailure(base::FailureKind aKind, bool aMayHaveReached);
  void ReportFailure(const UpstreamAttempt& aAttempt, base::FailureKind aKind);
  void GiveUp(base::WorkOutcome aOutcome, base::FailureKind aKind);
  void RecordOutcome(const http::ResponseHead& aHead, const std::string& aBody,
                     bool aIsBodyOmitted);
  void SettleClaim(base::WorkOutcome aOutcome);
  void CancelAttempts(const UpstreamAttempt* aExcept);
  /** Cancels the attempt, and reports to the crash watch that its upstream may
   * still be running it. */
  void Cancel(UpstreamAttempt& aAttempt);
  void EndAttempt(UpstreamAttempt& aAttempt, const char* aResult,
                  TicketEnd aEnd = TicketEnd::Served);
  void RelayResponse(const http::ResponseHead& aHead, const std::string& aBody,
                     base::WorkOutcome aOutcome);
  http::ResponseHead RelayedHead(const http::ResponseHead& aHead,
                                 base::WorkOutcome aOutcome) const;
  void Refuse(const Refusal& aRefusal);
  void Finish(const std::string& aResult);
  void AddSpan(const char* aName, base::TimePoint aStart,
               const std::string& aTarget, const std::string& aResult);

  ServiceRuntime& mService;
  limits::QueuedId mId;
  std::shared_ptr<http::ServerExchange> mExchange;
  RequestPlan mPlan;
  std::string mBody;
  std::size_t mBodyStreamed = 0;
  std::vector<std::shared_ptr<UpstreamAttempt>> mAttempts;
  std::vector<base::UpstreamId> mTriedUpstreams;
  std::map<base::AttemptId, SpillTicket> mTickets;
  std::uint32_t mAttemptCount = 0;
  UpstreamAttempt* mCommittedAttempt = nullptr;
  std::optional<http::ResponseHead> mErrorHead;
  std::string mErrorBody;
  std::optional<idempotency::AttemptNumber> mClaim;
  retries::Fingerprint mFingerprint;
  base::TimePoint mFirstDispatch;
  base::TimePoint mQueuedSince;
  std::optional<base::TimePoint> mHedgeAt;
  std::optional<base::HostId> mAdmittedSender;
  bool mIsQueued = false;
  bool mIsClaimGranted = false;
  bool mIsAnswered = false;
  bool mIsFinished = false;
  bool mMayHaveRun = false;
  bool mHasSucceeded = false;
};

} // namespace auburnmux::daemon
