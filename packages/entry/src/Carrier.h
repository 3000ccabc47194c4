#pragma once

#include "carriage/Carriage.h"
#include "entry/src/Attempt.h"
#include "entry/src/Services.h"

#include <memory>
#include <optional>
#include <string>

namespace auburnmux::entry {

/**
 * Carries one request: keeps its body, does what its RequestStateMachine
 * decides, and delivers the response. It lives until the exchange with the
 * client ends. The members are in four sources: the request itself
 * (Carrier.cpp), the choice of an upstream (CarrierPlacing.cpp), the attempts
 * there (CarrierAttempts.cpp) and what the client and the log are told
 * (CarrierAnswers.cpp).
 */
class Carrier final
  : public AttemptObserver
  , public std::enable_shared_from_this<Carrier>
{
public:
  /** Longest request body that is kept, so that it can be sent again. */
  static constexpr std::size_t kMaxKeptBody = std::size_t{ 1 } << 20U;
  /** Bytes that may wait for a slow reader before the writer is paused. */
  static constexpr base::ByteCount kMaxPending{ std::uint64_t{ 256 } << 10U };

  Carrier(Services& aServices, std::shared_ptr<http::ServerExchange> aExchange);
  ~Carrier() override;
  Carrier(const Carrier&) = delete;
  Carrier& operator=(const Carrier&) = delete;

  /** Begins; the carrier observes the exchange from then on. */
  void Start();

  // Events of the exchange with the client.
  void OnBody(std::string_view aPart);
  void OnBodyEnd();
  void OnWritable();
  void OnClosed(bool aIsComplete);

  // Events of the attempt.
  void OnAttemptResponse() override;
  void OnAttemptStreaming() override;
  void OnAttemptBody(std::string_view aPart) override;
  void OnAttemptFailed(const http::Failure& aFailure) override;
  void OnAttemptWritable() override;

private:
  struct ActionVisitor;

  void StartTimer();
  /** \returns the time that the client spent on earlier attempts: its time
   * left is shorter than that of first attempts on the route. */
  base::Duration TimeSpentBefore();
  void Execute(const carriage::RequestActions& aActions);
  void Refuse(carriage::Reason aReason, base::Duration aRetryAfter);
  void DenyUnknownRoute();
  void Seek(bool aIsRepeat);
  /** Asks the placement for an upstream, and waits if none has room. */
  void TryPlace();
  void LeaveQueue();
  void Send(const placing::Placed& aPlace);
  http::ClientRequest MakeRequest(const base::UpstreamId& aUpstream) const;
  base::Duration TimeLeft() const;
  void EndAttempt(placing::Outcome aOutcome);
  void Relay();
  void SendFailure(carriage::Reason aReason);
  /** Ends the attempt under way; its upstream is to stop the work. */
  void CancelAttempt(placing::Outcome aOutcome);
  /** Learns from a failure whether the upstream has crashed. */
  void WatchForCrash(const http::Failure& aFailure);
  void WatchForStraggling();
  /** Sends the request anew if its attempt takes too long. */
  void OnStraggling();
  /** Logs that the attempt is given up while its upstream may be at work. */
  void LogCancelled(placing::Outcome aOutcome);
  /** Logs that the attempt is given up for a new one. */
  void LogStraggler(const base::UpstreamId& aTo);
  void LogEnd(std::string_view aOutcome, int aStatus);
  void StopTimer();
  void StopWatch();

  Services& mServices;
  std::shared_ptr<http::ServerExchange> mExchange;
  RequestFacts mFacts;
  std::shared_ptr<const routing::Route> mRoute;
  placing::PlaceRequest mPlaceRequest;
  std::optional<carriage::RequestStateMachine> mLife;
  std::optional<http::Loop::TimerId> mTimer;
  /** Set while the attempt may turn out to be a straggler. */
  std::optional<http::Loop::TimerId> mStragglerTimer;
  /** Names requests that are the same but for their ids. */
  retries::Fingerprint mFingerprint;
  /** Set while the request waits for room. */
  std::optional<admission::Ticket> mTicket;
  base::Duration mWaited{};
  base::TimePoint mArrived;
  base::TimePoint mAnswerBy;
  /** Until when a response is of full use to the client. */
  base::TimePoint mOnTimeUntil;
  std::string mBody;
  bool mIsBodyComplete = false;
  /** Whether parts of the body were passed on that aren't kept. */
  bool mIsBodyStreaming = false;
  std::shared_ptr<Attempt> mAttempt;
  /** Whether the attempt counts at its upstream. */
  bool mIsAttemptOpen = false;
  /** A failure response of an earlier attempt, for want of a better one. */
  std::shared_ptr<Attempt> mKept;
  bool mIsAnswered = false;
};

} // namespace auburnmux::entry
