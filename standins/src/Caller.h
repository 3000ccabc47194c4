#pragma once

#include "standins/src/AnswerCheck.h"
#include "standins/src/CallerSettings.h"
#include "standins/src/LookupCache.h"
#include "standins/src/Samples.h"

#include <map>
#include <memory>
#include <set>

namespace auburnmux::standins {

/** Sends open-loop load and checks every answer. */
class Caller
{
public:
  /** Calls \a aOnDone with the report once all requests are over. */
  Caller(http::Loop& aLoop, CallerSettings aSettings,
         std::function<void(const Json&)> aOnDone);

private:
  struct ClassTally
  {
    std::map<std::string, std::uint64_t> mCounts;
    Samples mLatency;
    Samples mRefusalLatency;
  };
  struct Request
  {
    const RequestClass* mClass = nullptr;
    base::TimePoint mArrival;
    std::string mTarget;
    std::string mBody;
    ExpectedAnswer mExpected;
    int mAttempts = 0;
    /** Which of the hosts that the look-up named is tried next. */
    std::size_t mHost = 0;
  };
  using RequestPtr = std::shared_ptr<Request>;

  void ScheduleArrival();
  void Arrive();
  RequestPtr MakeRequest();
  const RequestClass& PickClass();
  std::string MakeKey();
  void Attempt(const RequestPtr& aRequest);
  void SendTo(const RequestPtr& aRequest, const http::Endpoint& aHost);
  void HandleResult(const RequestPtr& aRequest,
                    const http::FetchResult& aResult);
  bool MayRetry(const Request& aRequest, Verdict aVerdict) const;
  void Finish(const RequestPtr& aRequest, Verdict aVerdict);
  base::Duration TimeLeft(const Request& aRequest) const;
  void FinishRun();
  Json Report() const;

  http::Loop& mLoop;
  CallerSettings mSettings;
  std::function<void(const Json&)> mOnDone;
  http::Client mClient;
  LookupCache mLookups;
  base::Random mRandom;
  base::TimePoint mStart;
  base::TimePoint mNextArrival;
  http::Loop::TimerId mArrivalTimer;
  http::Loop::TimerId mEndTimer;
  bool mIsSending = true;
  std::uint64_t mSerial = 0;
  std::set<RequestPtr> mOpen;
  std::map<std::string, ClassTally> mTallies;
  std::map<std::int64_t, ClassTally> mTimeline;
  std::map<std::string, std::string> mKeys;
};

} // namespace auburnmux::standins
