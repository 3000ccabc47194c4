#pragma once

#include "base/Base.h"
#include "http/Http.h"

#include <memory>
#include <string>
#include <variant>

namespace auburnmux::daemon {

class UpstreamAttempt;

/** Receives the events of the attempts of a request. */
class AttemptOwner
{
public:
  virtual ~AttemptOwner() = default;
  virtual void OnAttemptHead(UpstreamAttempt& aAttempt) = 0;
  virtual void OnAttemptBody(UpstreamAttempt& aAttempt,
                             std::string_view aPart) = 0;
  virtual void OnAttemptEnd(UpstreamAttempt& aAttempt) = 0;
  virtual void OnAttemptFailure(UpstreamAttempt& aAttempt,
                                const http::Failure& aFailure) = 0;
  virtual void OnAttemptWritable(UpstreamAttempt& aAttempt) = 0;
};

/** Another entry host to which the request is forwarded under a grant. */
struct HostTarget
{
  base::HostId mHost;
};

/** Destination of an attempt: an upstream or another entry host. */
using AttemptTarget = std::variant<base::UpstreamId, HostTarget>;

/** \returns the name of the target for logs and spans. */
std::string TargetText(const AttemptTarget& aTarget);

/** One attempt of a request at one target. */
class UpstreamAttempt final
  : public http::ResponseObserver
  , public std::enable_shared_from_this<UpstreamAttempt>
{
public:
  UpstreamAttempt(base::AttemptId aId, AttemptTarget aTarget,
                  std::weak_ptr<AttemptOwner> aOwner, base::TimePoint aStart);

  /** Sends the head, and the body if \a aBody is not null. */
  void Start(http::Client& aClient, const http::ClientRequest& aRequest,
             const std::string* aBody);

  base::AttemptId Id() const { return mId; }
  const AttemptTarget& Target() const { return mTarget; }
  base::TimePoint StartTime() const { return mStart; }
  bool HasHead() const { return mHasHead; }
  const http::ResponseHead& Head() const { return mHead; }
  std::string& Body() { return mBody; }
  bool MayHaveReached() const;
  base::TimePoint LastProgress() const { return mLastProgress; }
  void RecordProgress(base::TimePoint aNow) { mLastProgress = aNow; }
  http::ClientExchange* Exchange() const { return mExchange.get(); }
  bool IsOver() const { return mIsOver; }

  /** Cancels the exchange. No event follows. */
  void Cancel();

  void OnHead(const http::ResponseHead& aHead) override;
  void OnBody(std::string_view aPart) override;
  void OnEnd() override;
  void OnFailure(const http::Failure& aFailure) override;
  void OnWritable() override;

private:
  base::AttemptId mId;
  AttemptTarget mTarget;
  std::weak_ptr<AttemptOwner> mOwner;
  base::TimePoint mStart;
  base::TimePoint mLastProgress;
  std::shared_ptr<http::ClientExchange> mExchange;
  http::ResponseHead mHead;
  std::string mBody;
  bool mHasHead = false;
  bool mIsOver = false;
};

} // namespace auburnmux::daemon
