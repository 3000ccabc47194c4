#pragma once

#include "standins/src/ConnectionTable.h"
#include "standins/src/Digest.h"
#include "standins/src/KeyLedger.h"
#include "standins/src/LaggingLoad.h"
#include "standins/src/ServiceTime.h"

#include <list>
#include <map>
#include <memory>
#include <optional>

namespace auburnmux::standins {

/** One upstream of a service, with everything that such a process may do. */
class Upstream
{
public:
  Upstream(http::Loop& aLoop, KeyLedger& aLedger,
           const UpstreamSettings& aSettings);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  bool IsListening() const { return mServer && mServer->IsListening(); }
  Json Stats() const;

private:
  enum class Stage
  {
    Queued,
    Receiving,
    Running,
    Done
  };
  struct Work
  {
    ExchangePtr mExchange;
    Stage mStage = Stage::Queued;
    Digest mDigest;
    bool mHasBody = false;
    bool mIsMuted = false;
    std::optional<http::Loop::TimerId> mTimer;
  };
  using WorkPtr = std::shared_ptr<Work>;
  class WorkObserver;

  void Listen();
  void HandleRequest(const ExchangePtr& aExchange);
  void HandleControl(const ExchangePtr& aExchange, const std::string& aBody);
  void Configure(const Json& aChange);
  void HandleWork(const ExchangePtr& aExchange);
  /** \returns why the request is refused; empty to accept it. */
  std::string ReasonToRefuse(const http::RequestHead& aHead);
  void Refuse(const ExchangePtr& aExchange, const std::string& aReason);
  void Start(const WorkPtr& aWork);
  void HandleBodyEnd(const WorkPtr& aWork);
  void Run(const WorkPtr& aWork);
  void RecordExecution(const WorkPtr& aWork);
  void Finish(const WorkPtr& aWork);
  void HandleClosed(const WorkPtr& aWork);
  void Leave(const WorkPtr& aWork);
  void StartQueued();
  void Crash();
  void Silence();
  bool IsLeavingSince(base::Duration aTime) const;
  std::size_t InFlight() const { return mActive.size() + mQueue.size(); }
  void RecordLoad() { mLoad.Record(InFlight(), mLoop.Now()); }
  http::Headers StateHeaders();
  std::string AnswerTo(const Work& aWork) const;

  http::Loop& mLoop;
  KeyLedger& mLedger;
  UpstreamSettings mSettings;
  ServiceTime mServiceTime;
  ConnectionTable mConnections;
  LaggingLoad mLoad;
  std::list<WorkPtr> mActive;
  std::list<WorkPtr> mQueue;
  base::TimePoint mStarted;
  std::optional<base::TimePoint> mDrainStart;
  std::optional<http::Loop::TimerId> mRestart;
  std::map<std::string, std::uint64_t> mRefused;
  std::map<std::string, std::uint64_t> mCounts;
  std::map<std::string, std::string> mUploads;
  std::size_t mMaxActive = 0;
  std::unique_ptr<http::Server> mServer;
};

} // namespace auburnmux::standins
