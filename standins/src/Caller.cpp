#include "standins/src/Caller.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnmux::standins {

namespace {

// An answer at the deadline still has to travel back.
constexpr base::Duration kAnswerGrace = std::chrono::milliseconds(500);
constexpr base::Duration kFirstBackoff = std::chrono::milliseconds(100);

const char* NameOf(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::Own:
      return "ok";
    case Verdict::Wrong:
      return "wrong_answers";
    case Verdict::NotRun:
      return "not_run";
    case Verdict::NotKnown:
      return "not_known";
    case Verdict::NotReached:
    case Verdict::Broken:
      return "failed";
  }
  return "failed";
}

std::int64_t ToMilliseconds(base::Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

} // namespace

Caller::Caller(http::Loop& aLoop, CallerSettings aSettings,
               std::function<void(const Json&)> aOnDone)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mOnDone(std::move(aOnDone))
  , mClient(aLoop, mSettings.mSource)
  , mLookups(aLoop, mClient, mSettings.mEntries, mSettings.mDataCentre)
  , mRandom(mSettings.mSeed)
  , mStart(aLoop.Now())
  , mNextArrival(mStart)
{
  ScheduleArrival();
  mLoop.After(mSettings.mTime, [this] {
    mIsSending = false;
    if (mOpen.empty()) {
      FinishRun();
    }
  });
  mEndTimer =
    mLoop.After(mSettings.mTime + mSettings.mLinger, [this] { FinishRun(); });
}

void Caller::ScheduleArrival()
{
  const double gap = -std::log(1.0 - mRandom.Fraction()) / mSettings.mRate;
  mNextArrival += Milliseconds(gap * 1000);
  mArrivalTimer =
    mLoop.After(std::max(mNextArrival - mLoop.Now(), base::Duration::zero()),
                [this] { Arrive(); });
}

void Caller::Arrive()
{
  if (mIsSending) {
    const RequestPtr request = MakeRequest();
    mOpen.insert(request);
    ++mTallies[request->mClass->mName].mCounts["sent"];
    ScheduleArrival();
    Attempt(request);
  }
}

const RequestClass& Caller::PickClass()
{
  double total = 0;
  for (const RequestClass& it : mSettings.mClasses) {
    total += it.mWeight;
  }
  double left = mRandom.Fraction() * total;
  const RequestClass* picked = nullptr;
  for (const RequestClass& it : mSettings.mClasses) {
    if (it.mWeight > 0 && (picked == nullptr || left >= 0)) {
      picked = &it;
    }
    left -= it.mWeight;
  }
  return *picked;
}

std::string Caller::MakeKey()
{
  // UUID version 7 (RFC 9562): 48 bits of Unix time in ms, then random bits.
  const auto now = static_cast<unsigned long long>(
    http::Loop::WallNow().time_since_epoch().count());
  const unsigned long long low = mRandom.Next();
  char buf[37];
  std::snprintf(buf, sizeof buf, "%08llx-%04llx-7%03llx-%04llx-%012llx",
                (now >> 16U) & 0xffffffffULL, now & 0xffffULL,
                static_cast<unsigned long long>(mRandom.Below(0x1000)),
                0x8000ULL | (low >> 50U), low & 0xffffffffffffULL);
  return buf;
}

Caller::RequestPtr Caller::MakeRequest()
{
  auto request = std::make_shared<Request>();
  const RequestClass& kind = PickClass();
  const std::string serial = std::to_string(++mSerial);
  request->mClass = &kind;
  request->mArrival = mNextArrival;
  request->mExpected.mNonce = std::to_string(mRandom.Next()) + '-' + serial;
  request->mTarget = '/' + kind.mService + kind.mPath;
  if (!kind.mIsOnce) {
    request->mTarget += '/' + std::to_string(mSettings.mSeed) + '-' + serial;
  }
  request->mTarget += "?nonce=" + request->mExpected.mNonce;
  if (kind.mAnswerBytes > 0) {
    request->mTarget += "&bytes=" + std::to_string(kind.mAnswerBytes);
  }
  if (kind.mBodyBytes > 0) {
    request->mBody = request->mExpected.mNonce;
    request->mBody.resize(kind.mBodyBytes,
                          static_cast<char>('a' + mSerial % 26));
  }
  request->mExpected.mDigest = base::DigestHex(request->mBody);
  if (kind.mIsOnce) {
    request->mExpected.mKey = MakeKey();
  }
  return request;
}

base::Duration Caller::TimeLeft(const Request& aRequest) const
{
  return aRequest.mArrival + aRequest.mClass->mDeadline - mLoop.Now();
}

void Caller::Attempt(const RequestPtr& aRequest)
{
  mLookups.Ask(aRequest->mClass->mService,
               [this, aRequest](const std::vector<http::Endpoint>& aHosts) {
                 if (aHosts.empty()) {
                   ++mTallies[aRequest->mClass->mName].mCounts["no_host"];
                   Finish(aRequest, Verdict::NotReached);
                 } else {
                   SendTo(aRequest, aHosts[aRequest->mHost % aHosts.size()]);
                 }
               });
}

void Caller::SendTo(const RequestPtr& aRequest, const http::Endpoint& aHost)
{
  ++aRequest->mAttempts;
  const base::Duration left =
    std::max<base::Duration>(TimeLeft(*aRequest), std::chrono::milliseconds(1));
  http::ClientRequest request{ aHost, aRequest->mClass->mMethod,
                               aRequest->mTarget };
  request.mHeaders.Set("request-deadline-ms",
                       std::to_string(ToMilliseconds(left)));
  if (!aRequest->mExpected.mKey.empty()) {
    request.mHeaders.Set("idempotency-key", aRequest->mExpected.mKey);
  }
  request.mConnectTimeout = std::chrono::milliseconds(500);
  http::Fetch(mLoop, mClient, request, aRequest->mBody, left + kAnswerGrace,
              [this, aRequest](const http::FetchResult& aResult) {
                HandleResult(aRequest, aResult);
              });
}

void Caller::HandleResult(const RequestPtr& aRequest,
                          const http::FetchResult& aResult)
{
  if (mOpen.count(aRequest) == 0) {
    return; // the run is over
  }
  const Verdict verdict = CheckAnswer(aRequest->mExpected, aResult);
  if (verdict == Verdict::Wrong) {
    base::LogWarning(base::LogLine("wrong_answer")
                       .With("target", aRequest->mTarget)
                       .With("key", aRequest->mExpected.mKey)
                       .With("digest", aRequest->mExpected.mDigest)
                       .With("answer", aResult.mBody.substr(0, 400)));
  }
  if (verdict == Verdict::NotReached) {
    mLookups.Drop(aRequest->mClass->mService);
  }
  if (!MayRetry(*aRequest, verdict)) {
    Finish(aRequest, verdict);
    return;
  }
  ++mTallies[aRequest->mClass->mName].mCounts["retried"];
  ++aRequest->mHost;
  base::Duration backoff{};
  if (verdict == Verdict::NotRun || verdict == Verdict::NotKnown) {
    backoff = Milliseconds(static_cast<double>(ToMilliseconds(kFirstBackoff)) *
                           std::pow(2.0, aRequest->mAttempts - 1) *
                           (0.5 + mRandom.Fraction()));
  }
  mLoop.After(backoff, [this, aRequest] { Attempt(aRequest); });
}

bool Caller::MayRetry(const Request& aRequest, Verdict aVerdict) const
{
  if (aRequest.mAttempts >= mSettings.mMaxAttempts ||
      TimeLeft(aRequest) <= base::Duration::zero()) {
    return false;
  }
  switch (aVerdict) {
    case Verdict::NotReached:
    case Verdict::Broken:
      return true;
    case Verdict::NotRun:
    case Verdict::NotKnown:
      return aRequest.mClass->mRetriesRefusals;
    default:
      return false;
  }
}

void Caller::Finish(const RequestPtr& aRequest, Verdict aVerdict)
{
  if (mOpen.erase(aRequest) == 0) {
    return;
  }
  const base::Duration latency = mLoop.Now() - aRequest->mArrival;
  const std::int64_t second =
    ToMilliseconds(aRequest->mArrival - mStart) / 1000;
  std::vector<ClassTally*> tallies = { &mTallies[aRequest->mClass->mName] };
  if (mSettings.mKeepsTimeline) {
    tallies.push_back(&mTimeline[second]);
  }
  for (ClassTally* it : tallies) {
    ++it->mCounts[NameOf(aVerdict)];
    if (aVerdict == Verdict::Own) {
      it->mLatency.Add(latency);
    } else if (aVerdict == Verdict::NotRun) {
      it->mRefusalLatency.Add(latency);
    }
  }
  if (mSettings.mKeepsKeys && aRequest->mClass->mIsOnce) {
    mKeys[aRequest->mExpected.mKey] = NameOf(aVerdict);
  }
  if (!mIsSending && mOpen.empty()) {
    FinishRun();
  }
}

void Caller::FinishRun()
{
  mLoop.Cancel(mArrivalTimer);
  mLoop.Cancel(mEndTimer);
  // Requests without an answer by now have failed.
  const std::set<RequestPtr> open = mOpen;
  for (const RequestPtr& it : open) {
    Finish(it, Verdict::Broken);
  }
  if (const auto done = std::exchange(mOnDone, nullptr)) {
    done(Report());
  }
}

Json Caller::Report() const
{
  Json classes = Json::object();
  for (const auto& [name, tally] : mTallies) {
    Json& it = classes[name] = tally.mLatency.ToJson();
    for (const char* count : { "sent", "ok", "failed", "not_run", "not_known",
                               "wrong_answers", "retried", "no_host" }) {
      const auto found = tally.mCounts.find(count);
      it[count] = found == tally.mCounts.end() ? 0 : found->second;
    }
    it["not_run_p50_ms"] = tally.mRefusalLatency.Quantile(0.5);
  }
  Json report = { { "data_centre", mSettings.mDataCentre },
                  { "seconds", ToMilliseconds(mSettings.mTime) / 1000.0 },
                  { "rate", mSettings.mRate },
                  { "lookups", mLookups.Lookups() },
                  { "classes", classes } };
  for (const auto& [second, tally] : mTimeline) {
    Json it = tally.mCounts;
    it["second"] = second;
    it["p99_ms"] = tally.mLatency.Quantile(0.99);
    report["timeline"].push_back(it);
  }
  if (mSettings.mKeepsKeys) {
    report["keys"] = mKeys;
  }
  return report;
}

} // namespace auburnmux::standins
