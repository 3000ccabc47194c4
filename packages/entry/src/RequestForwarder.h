#pragma once

#include "carriage/Carriage.h"
#include "entry/src/Attempt.h"
#include "entry/src/Services.h"

#include <memory>
#include <optional>
#include <string>

namespace auburnmux::entry {

/**
 * Forwards one request: buffers its body, executes the actions of its
 * RequestStateMachine, and sends the response to the client. It lives until the
 * exchange with the client ends. The members are defined in six files:
 * - RequestForwarder.cpp: receiving the request
 * - RequestForwarderCustomers.cpp: the customer that sent it
 * - RequestForwarderSelection.cpp: selecting an upstream
 * - RequestForwarderQuotas.cpp: the customer's quota
 * - RequestForwarderAttempts.cpp: the attempts at upstreams
 * - RequestForwarderResponses.cpp: responses to the client and log events
 */
class RequestForwarder final
  : public AttemptObserver
  , public std::enable_shared_from_this<RequestForwarder>
{
public:
  /** Retry-after of a stopping host. Short, since other hosts are available
   * immediately. */
  static constexpr base::Duration kStoppingRetryAfter =
    std::chrono::milliseconds(50);
  /** Retry-after of a request whose route or key this host may not know yet.
   * Short, since another host may know it. */
  static constexpr base::Duration kOutdatedRetryAfter =
    std::chrono::milliseconds(300);
  /** Retry-after of a request whose body this host can't hold: about half the
   * time after which it closes idle clients. */
  static constexpr base::Duration kMemoryRetryAfter = std::chrono::seconds(1);

  /** Time in which a connection to an upstream has to be open. */
  static constexpr base::Duration kConnectTimeout =
    std::chrono::milliseconds(800);

  RequestForwarder(Services& aServices,
                   std::shared_ptr<http::ServerExchange> aExchange);
  ~RequestForwarder() override;
  RequestForwarder(const RequestForwarder&) = delete;
  RequestForwarder& operator=(const RequestForwarder&) = delete;

  /** Starts forwarding, and observes the exchange from then on. */
  void Start();

  // Events of the exchange with the client.
  void OnBody(std::string_view aPart);
  void OnBodyEnd();
  void OnWritable();
  void OnTurn();
  void OnResponseDue();
  void OnClosed(bool aIsComplete);

  /** \returns the body that the request still waits for, and when a part of it
   * last arrived; none if it may have been sent to an upstream. */
  std::optional<buffering::HeldClient> WaitingBody() const;
  /** Refuses the request, as its body arrives too slowly. \pre WaitingBody() */
  void RefuseWaitingBody();
  /** Updates how much of a large body is in flight to the upstream. */
  void UpdateBodyInFlight();

  /** Logs that the host exits before the request has ended, and what it waits
   * for. */
  void LogCut() const;

  // Events of the attempt.
  bool MayStream() const override { return mExchange->HasTurn(); }
  void OnAttemptResponse() override;
  void OnAttemptStreaming() override;
  void OnAttemptBody(std::string_view aPart) override;
  void OnAttemptFailed(const http::Failure& aFailure) override;
  void OnAttemptWritable() override;

private:
  struct ActionVisitor;

  void StartTimer();
  /** \returns the time that the client spent on its earlier attempts: the
   * difference between its deadline and the longest one seen on the route. */
  base::Duration TimeSpentBefore();
  void Execute(const carriage::RequestActions& aActions);
  void Refuse(carriage::Reason aReason, base::Duration aRetryAfter);
  /** Refuses the request if the host holds too much to buffer a body of at
   * least \a aSize. \returns whether it did */
  bool RefuseLargeBody(std::size_t aSize);
  /** Lists the request among those with large bodies, if it is one of them. */
  void ListLargeBody(std::size_t aSize);
  /** Frees what only a further attempt would need. */
  void ReleaseBuffers();
  void RespondUnknownRoute();
  void RespondUnknownKey();
  /**
   * Determines the sender of the request, and the regions that may handle it,
   * by the current configuration.
   * \returns why the request is to be refused, if it is
   */
  std::optional<carriage::Reason> Identify();
  /** Same as Identify() if the configuration has changed since its last call:
   * a key may have been withdrawn while the request waited. */
  std::optional<carriage::Reason> IdentifyAgain();
  /** \returns whether this host is stopping and may exit before the request
   * ends. */
  bool IsCutOffByStop() const;
  void SelectUpstream(bool aUsesRetryBudget);
  /** Selects an upstream; queues the request if none has capacity. */
  void TryPlace();
  /** Queues the request until a round of the dispatcher tries it. */
  void Enqueue(const placing::Wait& aWait);
  /** \returns the request as it is queued. */
  admission::QueuedRequest ToQueue(const placing::Wait& aWait) const;
  /** Refuses a request that its queue won't reach in time. */
  void RefuseQueued();
  void LeaveQueue();
  void Send(const placing::Placed& aPlace);
  /** Sends the request to the selected upstream once the customer's quota
   * allows it, and refuses it if the quota is used up. */
  void SendWithinQuota(const placing::Placed& aPlace);
  /** The wait for the quota has ended. */
  void OnQuotaAnswer(const quotas::Decision& aDecision);
  void RefuseOverQuota(const quotas::Refused& aRefused);
  /** Ends the wait for the quota, and frees the selected upstream. */
  void LeaveQuota();
  /** Gives back the token of a request that hasn't run. */
  void GiveBackToken();
  http::ClientRequest MakeRequest(const base::UpstreamId& aUpstream) const;
  base::Duration TimeLeft() const;
  /** Pauses the client while the attempt's upstream reads more slowly. */
  void PauseClientIfBehind();
  void EndAttempt(placing::Outcome aOutcome);
  void Relay();
  void SendFailure(carriage::Reason aReason);
  /** Cancels the current attempt, so that its upstream stops the work. */
  void CancelAttempt(placing::Outcome aOutcome);
  /** Reports a failed attempt to the crash watch. */
  void ReportFailure(const http::Failure& aFailure);
  /** Reports to the crash watch that this host ends the attempt while its
   * upstream may be running it. */
  void ReportEndedEarly();
  void StartStragglerTimer();
  /** Replaces an attempt that takes too long by one at another upstream. */
  void ReplaceStraggler();
  /** \returns whether the attempt in progress may be replaced now. */
  bool MayReplaceStraggler();
  /** Replaces the attempt once a connection to the upstream of the new one is
   * open: until then, the one in progress may still be answered. */
  void ConnectReplacement(const placing::Placed& aPlace);
  void OnReplacementConnected(http::ConnectOutcome aOutcome);
  void SendReplacement(const placing::Placed& aPlace);
  /** Frees the upstream that was selected for the new attempt, if any. */
  void DropReplacement(placing::Outcome aOutcome);
  /** Tries again to replace the attempt after a short time. */
  void RetryReplacement();
  /** Logs that the attempt is cancelled while its upstream may be running it.
   */
  void LogCancelled(placing::Outcome aOutcome);
  /** Logs that the attempt is replaced by one at \a aTo. */
  void LogStraggler(const base::UpstreamId& aTo);
  void LogEnd(std::string_view aOutcome, int aStatus);
  /** \returns what the request waits for, as a name in log events. */
  std::string_view WaitsFor() const;
  void StopTimer();
  void StopStragglerTimer();

  Services& mServices;
  std::shared_ptr<http::ServerExchange> mExchange;
  RequestFields mFields;
  std::shared_ptr<const routing::Route> mRoute;
  /** None where no customers are configured. */
  std::optional<Sender> mSender;
  /** Version of the configuration that Identify() used. */
  base::ConfigVersion mIdentifiedBy;
  /** Why that version refuses the request, if it does. */
  std::optional<carriage::Reason> mIdentityRefusal;
  placing::PlaceRequest mPlaceRequest;
  std::optional<carriage::RequestStateMachine> mStateMachine;
  std::optional<http::Loop::TimerId> mTimer;
  /** Set while the attempt may become a straggler. */
  std::optional<http::Loop::TimerId> mStragglerTimer;
  /** The upstream selected in place of a straggler's, while a connection to it
   * is being opened. */
  std::optional<placing::Placed> mReplacement;
  /** Number of replacements that needed a connection, to tell late outcomes. */
  std::uint32_t mReplacementCount = 0;
  /** Same for requests that differ only in their ids. */
  retries::Fingerprint mFingerprint;
  /** Set while the request is queued. */
  std::optional<admission::Ticket> mTicket;
  /** Whether it was queued by an estimate, before any upstream was considered.
   */
  bool mIsWaitEstimated = false;
  base::Duration mQueueTime{};
  base::TimePoint mArrived;
  base::TimePoint mDeadline;
  /** Until when a response meets the route's latency target. */
  base::TimePoint mLatencyDeadline;
  /** The selected upstream, while the request waits for its quota. */
  std::optional<placing::Placed> mHeldPlace;
  std::optional<quotas::WaiterId> mQuotaWaiter;
  /** The token of the customer's quota, if one was needed. */
  std::optional<quotas::Token> mToken;
  /** Whether an attempt with the token is open, or may have run the request. */
  bool mIsTokenUsed = false;
  /** Whether an attempt that has ended may have run the request. */
  bool mHasRun = false;
  carriage::RequestBody mBody;
  /** When a part of the body last arrived. */
  base::TimePoint mBodyArrived;
  /** Bytes of the body that the placement counts as in flight. */
  base::ByteCount mBodyInFlight;
  /** Whether the request is listed among those with large bodies. */
  bool mIsLargeBody = false;
  std::shared_ptr<Attempt> mAttempt;
  /** Whether the placement still counts the attempt at its upstream. */
  bool mIsAttemptOpen = false;
  /** An attempt that ended in a failure response, which is relayed if no later
   * attempt succeeds. */
  std::shared_ptr<Attempt> mFailureResponse;
  bool mIsAnswered = false;
  /** Whether the connection of an attempt broke while it was in flight. */
  bool mHasBroken = false;
};

} // namespace auburnmux::entry
