#include "standins/src/Upstream.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace auburnmux::standins {

namespace {

constexpr std::size_t kMaxAnswerBytes = std::size_t{ 1 } << 22U;
constexpr std::size_t kMaxUploadRecords = 100000;

std::string FieldOf(const http::RequestHead& aHead, std::string_view aName)
{
  return std::string(aHead.mHeaders.Find(aName).value_or(""));
}

/** \returns the time that the caller leaves; unset for no deadline. */
std::optional<base::Duration> DeadlineOf(const http::RequestHead& aHead)
{
  const std::string text = FieldOf(aHead, "request-deadline-ms");
  if (text.empty()) {
    return std::nullopt;
  }
  return Milliseconds(std::strtod(text.c_str(), nullptr));
}

} // namespace

class Upstream::WorkObserver final : public http::RequestObserver
{
public:
  WorkObserver(Upstream& aOwner, WorkPtr aWork)
    : mOwner(aOwner)
    , mWork(std::move(aWork))
  {
  }
  void OnBody(std::string_view aPart) override { mWork->mDigest.Add(aPart); }
  void OnBodyEnd() override { mOwner.HandleBodyEnd(mWork); }
  void OnClosed(bool /*aIsComplete*/) override { mOwner.HandleClosed(mWork); }

private:
  Upstream& mOwner;
  WorkPtr mWork;
};

Upstream::Upstream(http::Loop& aLoop, KeyLedger& aLedger,
                   const UpstreamSettings& aSettings)
  : mLoop(aLoop)
  , mLedger(aLedger)
  , mSettings(aSettings)
  , mServiceTime(aSettings.mSeed)
  , mConnections(aSettings.mConnections)
{
  Listen();
}

Upstream::~Upstream()
{
  if (mRestart) {
    mLoop.Cancel(*mRestart);
  }
  mServer.reset();
}

void Upstream::Listen()
{
  mStarted = mLoop.Now();
  mServer = std::make_unique<http::Server>(
    mLoop, mSettings.mListen,
    [this](const ExchangePtr& aExchange) { HandleRequest(aExchange); },
    &mConnections);
}

void Upstream::HandleRequest(const ExchangePtr& aExchange)
{
  const std::string& path = aExchange->Head().mPath;
  if (path == "/control" || path.rfind("/control/", 0) == 0) {
    CollectBody(aExchange, [this, aExchange](const std::string& aBody) {
      HandleControl(aExchange, aBody);
    });
  } else if (path == "/health") {
    Reply(aExchange, 200, { { "status", "ready" } }, StateHeaders());
  } else {
    HandleWork(aExchange);
  }
}

void Upstream::HandleControl(const ExchangePtr& aExchange,
                             const std::string& aBody)
{
  const std::string& path = aExchange->Head().mPath;
  if (path == "/control/stats") {
    Reply(aExchange, 200, Stats());
  } else if (path == "/control/keys") {
    Reply(aExchange, 200, mLedger.Executions());
  } else if (path == "/control/uploads") {
    Reply(aExchange, 200, mUploads);
  } else if (const auto change = ParseObject(aBody)) {
    try {
      Reply(aExchange, 200, *change);
      Configure(*change);
    } catch (const Json::type_error& ex) {
      base::LogWarning(base::LogLine("control").With("error", ex.what()));
    }
  } else {
    Reply(aExchange, 400, { { "error", "expected a JSON object" } });
  }
}

void Upstream::Configure(const Json& aChange)
{
  mSettings.mSlowFactor = aChange.value("slow_factor", mSettings.mSlowFactor);
  mSettings.mShedFraction =
    aChange.value("shed_fraction", mSettings.mShedFraction);
  mSettings.mStragglerFraction =
    aChange.value("straggler_fraction", mSettings.mStragglerFraction);
  mSettings.mReportsFalsely =
    aChange.value("false_report", mSettings.mReportsFalsely);
  if (aChange.contains("draining")) {
    const bool isDraining = aChange.value("draining", false);
    mDrainStart = isDraining ? std::optional(mLoop.Now()) : std::nullopt;
  }
  if (aChange.value("silent", false)) {
    // After the answer to this request has left.
    mLoop.After(std::chrono::milliseconds(20), [this] { Silence(); });
  }
  if (aChange.value("crash", false)) {
    Crash();
  }
}

bool Upstream::IsLeavingSince(base::Duration aTime) const
{
  return mDrainStart && mLoop.Now() - *mDrainStart >= aTime;
}

std::string Upstream::ReasonToRefuse(const http::RequestHead& aHead)
{
  if (IsLeavingSince(mSettings.mDrainGrace)) {
    ++mCounts["work_after_drain"];
    return "draining";
  }
  if (mServiceTime.Happens(mSettings.mShedFraction)) {
    return "shedding";
  }
  const bool isFull = mActive.size() >= mSettings.mSlots.Count();
  if (isFull && mQueue.size() >= mSettings.mQueueLimit) {
    return "full";
  }
  const auto deadline = DeadlineOf(aHead);
  const auto expected = ServiceTime::Expect(mSettings, mLoop.Now() - mStarted);
  return deadline && *deadline < expected ? "deadline" : "";
}

void Upstream::Refuse(const ExchangePtr& aExchange, const std::string& aReason)
{
  ++mRefused[aReason];
  http::Headers headers = StateHeaders();
  headers.Set("work-outcome", "not-run");
  headers.Set("retry-after", "1");
  Reply(aExchange, 503, { { "outcome", "not-run" }, { "reason", aReason } },
        std::move(headers));
}

void Upstream::HandleWork(const ExchangePtr& aExchange)
{
  const std::string reason = ReasonToRefuse(aExchange->Head());
  if (!reason.empty()) {
    Refuse(aExchange, reason);
    return;
  }
  auto work = std::make_shared<Work>();
  work->mExchange = aExchange;
  mQueue.push_back(work);
  aExchange->Observe(std::make_unique<WorkObserver>(*this, work));
  if (mActive.size() < mSettings.mSlots.Count()) {
    StartQueued();
  } else if (const auto deadline = DeadlineOf(aExchange->Head())) {
    aExchange->PauseReading(true);
    work->mTimer = mLoop.After(*deadline, [this, work] {
      const ExchangePtr exchange = work->mExchange;
      work->mTimer.reset();
      Leave(work);
      Refuse(exchange, "deadline");
    });
  }
  RecordLoad();
}

void Upstream::StartQueued()
{
  while (mActive.size() < mSettings.mSlots.Count() && !mQueue.empty()) {
    const WorkPtr work = mQueue.front();
    mQueue.pop_front();
    Start(work);
  }
}

void Upstream::Start(const WorkPtr& aWork)
{
  if (aWork->mTimer) {
    mLoop.Cancel(*aWork->mTimer);
    aWork->mTimer.reset();
  }
  aWork->mStage = Stage::Receiving;
  mActive.push_back(aWork);
  mMaxActive = std::max(mMaxActive, mActive.size());
  if (aWork->mHasBody) {
    Run(aWork);
  } else {
    aWork->mExchange->PauseReading(false);
  }
}

void Upstream::HandleBodyEnd(const WorkPtr& aWork)
{
  aWork->mHasBody = true;
  if (aWork->mStage == Stage::Receiving) {
    Run(aWork);
  }
}

void Upstream::Run(const WorkPtr& aWork)
{
  aWork->mStage = Stage::Running;
  RecordExecution(aWork);
  const std::string& query = aWork->mExchange->Head().mQuery;
  if (http::QueryValue(query, "crash") == "1") {
    Crash();
    return;
  }
  const base::Duration time =
    mServiceTime.Draw(mSettings, mLoop.Now() - mStarted);
  aWork->mTimer = mLoop.After(time, [this, aWork] {
    aWork->mTimer.reset();
    Finish(aWork);
  });
}

void Upstream::RecordExecution(const WorkPtr& aWork)
{
  const http::RequestHead& head = aWork->mExchange->Head();
  const std::string key = FieldOf(head, "idempotency-key");
  ++mCounts["executed"];
  if (!key.empty()) {
    mCounts["doubled"] += mLedger.Record(key) ? 1 : 0;
  } else if (head.mMethod == "POST") {
    ++mCounts["unkeyed"];
  }
  if (head.mMethod == "PUT") {
    ++mCounts["uploads"];
    if (mUploads.size() < kMaxUploadRecords) {
      mUploads[head.mPath] = aWork->mDigest.Hex();
    }
  }
}

void Upstream::Finish(const WorkPtr& aWork)
{
  const ExchangePtr exchange = aWork->mExchange;
  const std::string answer = AnswerTo(*aWork);
  const bool isMuted = aWork->mIsMuted;
  Leave(aWork);
  if (isMuted) {
    return;
  }
  ++mCounts["answered"];
  if (!exchange->IsClosed()) {
    http::Headers headers = StateHeaders();
    headers.Set("work-outcome", "run");
    headers.Set("content-type", "application/json");
    exchange->Respond(200, std::move(headers), answer);
  }
}

void Upstream::HandleClosed(const WorkPtr& aWork)
{
  if (aWork->mStage != Stage::Done) {
    ++mCounts["cancelled"];
    Leave(aWork);
  }
}

void Upstream::Leave(const WorkPtr& aWork)
{
  if (aWork->mTimer) {
    mLoop.Cancel(*aWork->mTimer);
    aWork->mTimer.reset();
  }
  aWork->mStage = Stage::Done;
  aWork->mExchange.reset();
  mActive.remove(aWork);
  mQueue.remove(aWork);
  StartQueued();
  RecordLoad();
}

void Upstream::Crash()
{
  if (mRestart) {
    return;
  }
  ++mCounts["crashes"];
  mCounts["lost_in_crash"] += InFlight();
  for (std::list<WorkPtr>* list : { &mActive, &mQueue }) {
    for (const WorkPtr& it : *list) {
      if (it->mTimer) {
        mLoop.Cancel(*it->mTimer);
        it->mTimer.reset();
      }
      it->mStage = Stage::Done;
      it->mExchange->Abort();
      it->mExchange.reset();
    }
    list->clear();
  }
  mRestart = mLoop.After(base::Duration::zero(), [this] {
    mServer.reset();
    mRestart = mLoop.After(mSettings.mRestartTime, [this] {
      mRestart.reset();
      Listen();
    });
  });
}

void Upstream::Silence()
{
  mConnections.Silence();
  for (const std::list<WorkPtr>* list : { &mActive, &mQueue }) {
    for (const WorkPtr& it : *list) {
      it->mIsMuted = true;
    }
  }
}

http::Headers Upstream::StateHeaders()
{
  http::Headers headers;
  const std::size_t load = mSettings.mReportsFalsely
                             ? 0
                             : mLoad.Report(mLoop.Now(), mSettings.mReportLag);
  headers.Set("upstream-load", std::to_string(load) + '/' +
                                 std::to_string(mSettings.mSlots.Count()));
  if (mDrainStart) {
    headers.Set("upstream-state", "leaving");
  }
  return headers;
}

std::string Upstream::AnswerTo(const Work& aWork) const
{
  const http::RequestHead& head = aWork.mExchange->Head();
  Json answer = { { "service", mSettings.mService.Text() },
                  { "upstream", mSettings.mId.Text() },
                  { "path", head.mPath },
                  { "key", FieldOf(head, "idempotency-key") },
                  { "digest", aWork.mDigest.Hex() },
                  { "nonce",
                    http::QueryValue(head.mQuery, "nonce").value_or("") },
                  { "pad", "" } };
  std::string text =
    answer.dump(-1, ' ', false, Json::error_handler_t::replace);
  const std::string bytes = http::QueryValue(head.mQuery, "bytes").value_or("");
  const std::size_t wanted = std::min<std::size_t>(
    std::strtoull(bytes.c_str(), nullptr, 10), kMaxAnswerBytes);
  if (wanted > text.size()) {
    answer["pad"] = std::string(wanted - text.size(), 'p');
    text = answer.dump(-1, ' ', false, Json::error_handler_t::replace);
  }
  return text;
}

Json Upstream::Stats() const
{
  Json stats = { { "service", mSettings.mService.Text() },
                 { "upstream", mSettings.mId.Text() },
                 { "running", mActive.size() },
                 { "queued", mQueue.size() },
                 { "max_concurrent", mMaxActive },
                 { "connections", mConnections.Open() },
                 { "connections_max", mConnections.MaxOpen() },
                 { "connections_refused", mConnections.Refused() },
                 { "refused", mRefused } };
  for (const char* it :
       { "executed", "answered", "doubled", "unkeyed", "cancelled", "uploads",
         "work_after_drain", "crashes", "lost_in_crash" }) {
    const auto count = mCounts.find(it);
    stats[it] = count == mCounts.end() ? 0 : count->second;
  }
  return stats;
}

} // namespace auburnmux::standins
