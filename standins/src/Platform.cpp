#include "standins/src/Platform.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace auburnmux::standins {

namespace {

const std::string kObjects = "/v1/objects";
const std::string kHosts = "/v1/hosts";

std::optional<base::ObjectVersion> ParseVersion(std::string_view aText)
{
  if (aText.size() >= 2 && aText.front() == '"' && aText.back() == '"') {
    aText = aText.substr(1, aText.size() - 2);
  }
  std::uint64_t version = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, version);
  if (aText.empty() || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return base::ObjectVersion(version);
}

http::Headers VersionTag(base::ObjectVersion aVersion)
{
  return { { "etag", '"' + std::to_string(aVersion.Count()) + '"' } };
}

/** \returns the kind of call that the counts name; empty for none. */
std::string KindOf(const http::RequestHead& aHead)
{
  const std::string& path = aHead.mPath;
  if (path == kHosts || path.rfind(kHosts + '/', 0) == 0) {
    const bool isList = path == kHosts;
    return aHead.mMethod == (isList ? "GET" : "PUT")
             ? (isList ? "hosts" : "announce")
             : "";
  }
  if (path == kObjects) {
    return aHead.mMethod == "GET" ? "list" : "";
  }
  if (path.rfind(kObjects + '/', 0) != 0 ||
      path.size() == kObjects.size() + 1) {
    return "";
  }
  if (aHead.mMethod == "GET") {
    return http::QueryValue(aHead.mQuery, "watch") ? "watch" : "get";
  }
  if (aHead.mMethod == "PUT") {
    return "put";
  }
  return aHead.mMethod == "DELETE" ? "delete" : "";
}

/** \returns the condition of a write; unset when it can't be read. */
std::optional<WriteCondition> ParseCondition(const http::Headers& aHeaders)
{
  WriteCondition condition;
  if (const auto match = aHeaders.Find("if-match")) {
    condition.mIfVersion = ParseVersion(*match);
    if (!condition.mIfVersion) {
      return std::nullopt;
    }
  }
  if (const auto noneMatch = aHeaders.Find("if-none-match")) {
    condition.mIfAbsent = *noneMatch == "*";
    if (!condition.mIfAbsent) {
      return std::nullopt;
    }
  }
  return condition;
}

} // namespace

Platform::Platform(http::Loop& aLoop, const PlatformSettings& aSettings)
  : mLoop(aLoop)
  , mWatchTimeout(aSettings.mWatchTimeout)
  , mHosts(aSettings.mLags)
  , mServer(aLoop, aSettings.mListen,
            [this](const ExchangePtr& aExchange) { HandleRequest(aExchange); })
{
}

void Platform::HandleRequest(const ExchangePtr& aExchange)
{
  const http::RequestHead& head = aExchange->Head();
  if (head.mPath.rfind("/control/", 0) == 0) {
    CollectBody(aExchange, [this, aExchange](const std::string& aBody) {
      HandleControl(aExchange, aBody);
    });
    return;
  }
  const std::string kind = KindOf(head);
  if (kind.empty()) {
    Reply(aExchange, 404, { { "error", "no such call" } });
    return;
  }
  ++mCounts[kind];
  const std::string& root = kind == "announce" ? kHosts : kObjects;
  std::string name =
    head.mPath.substr(std::min(root.size() + 1, head.mPath.size()));
  CollectBody(aExchange, [this, aExchange, kind,
                          name = std::move(name)](const std::string& aBody) {
    Accept({ aExchange, kind, name, aBody });
  });
}

void Platform::HandleControl(const ExchangePtr& aExchange,
                             const std::string& aBody)
{
  const http::RequestHead& head = aExchange->Head();
  if (head.mPath == "/control/counts") {
    Reply(aExchange, 200, mCounts);
    return;
  }
  const auto faults = ParseObject(aBody);
  if (head.mPath != "/control/faults" || head.mMethod != "PUT" || !faults) {
    Reply(aExchange, 400, { { "error", "expected PUT /control/faults" } });
    return;
  }
  try {
    SetFaults(*faults);
    Reply(aExchange, 200, *faults);
  } catch (const Json::type_error& ex) {
    Reply(aExchange, 400, { { "error", ex.what() } });
  }
}

void Platform::SetFaults(const Json& aFaults)
{
  mFaults.mIsDown = aFaults.value("down", mFaults.mIsDown);
  if (aFaults.contains("delay_ms")) {
    mFaults.mDelay = Milliseconds(aFaults.value("delay_ms", 0.0));
  }
  if (aFaults.contains("stale_reads_ms")) {
    mStore.SetStaleness(Milliseconds(aFaults.value("stale_reads_ms", 0.0)));
  }
  mFaults.mLostAnswers =
    aFaults.value("lose_next_answers", mFaults.mLostAnswers);
  mFaults.mDroppedRequests =
    aFaults.value("drop_requests", mFaults.mDroppedRequests);
  if (mFaults.mIsDown) {
    BreakWatches();
  }
}

void Platform::Accept(Call aCall)
{
  if (mFaults.mIsDown) {
    ++mCounts["refused"];
    aCall.mExchange->Abort();
    return;
  }
  mDropped.remove_if([](const ExchangePtr& aIt) { return aIt->IsClosed(); });
  if (mFaults.mDroppedRequests > 0) {
    --mFaults.mDroppedRequests;
    ++mCounts["dropped"];
    mDropped.push_back(aCall.mExchange);
    return;
  }
  Later([this, call = std::move(aCall)] { Apply(call); });
}

void Platform::Later(http::Loop::Task aTask)
{
  if (mFaults.mDelay == base::Duration::zero()) {
    aTask();
  } else {
    mLoop.After(mFaults.mDelay / 2, std::move(aTask));
  }
}

void Platform::Apply(const Call& aCall)
{
  if (aCall.mKind == "put" || aCall.mKind == "delete") {
    ApplyWrite(aCall);
  } else if (aCall.mKind == "watch") {
    ApplyWatch(aCall);
  } else {
    ApplyRead(aCall);
  }
}

void Platform::ApplyWrite(const Call& aCall)
{
  const auto condition = ParseCondition(aCall.mExchange->Head().mHeaders);
  if (!condition) {
    Answer(aCall, 400, { { "error", "unreadable condition" } });
    return;
  }
  const bool isPut = aCall.mKind == "put";
  http::Headers headers;
  bool isDone = false;
  if (isPut) {
    const auto version =
      mStore.Put(aCall.mName, aCall.mBody, *condition, mLoop.Now());
    isDone = version.has_value();
    headers = isDone ? VersionTag(*version) : http::Headers();
  } else {
    isDone = mStore.Delete(aCall.mName, *condition, mLoop.Now());
  }
  if (isDone) {
    Wake(aCall.mName);
  } else {
    ++mCounts["conflict"];
  }
  if (mFaults.mLostAnswers > 0) {
    --mFaults.mLostAnswers;
    ++mCounts["lost_answer"];
    aCall.mExchange->Abort();
    return;
  }
  Answer(aCall, isDone ? 200 : 412, { { "applied", isDone } },
         std::move(headers));
}

void Platform::ApplyRead(const Call& aCall)
{
  if (aCall.mKind == "get") {
    const ObjectState state = mStore.Read(aCall.mName, mLoop.Now());
    Later([this, exchange = aCall.mExchange, state] {
      AnswerObject(exchange, state);
    });
    return;
  }
  if (aCall.mKind == "announce") {
    const auto fields = ParseObject(aCall.mBody);
    if (fields) {
      mHosts.Announce(aCall.mName, *fields, mLoop.Now());
    }
    Answer(aCall, fields ? 200 : 400, Json::object());
    return;
  }
  if (aCall.mKind == "hosts") {
    Answer(aCall, 200, mHosts.List(mLoop.Now()));
    return;
  }
  Json objects = Json::array();
  const std::string prefix =
    http::QueryValue(aCall.mExchange->Head().mQuery, "prefix").value_or("");
  for (const auto& [name, version] : mStore.List(prefix, mLoop.Now())) {
    objects.push_back({ { "name", name }, { "version", version.Count() } });
  }
  Answer(aCall, 200, { { "objects", objects } });
}

void Platform::ApplyWatch(const Call& aCall)
{
  const auto above = ParseVersion(
    http::QueryValue(aCall.mExchange->Head().mQuery, "watch").value_or(""));
  if (!above) {
    Answer(aCall, 400, { { "error", "unreadable version" } });
    return;
  }
  const ObjectState state = mStore.Get(aCall.mName);
  const bool isDeleted = !state.IsPresent() && above->Count() > 0;
  if (isDeleted || state.mVersion > *above) {
    AnswerObject(aCall.mExchange, state);
    return;
  }
  mWatchers.push_back({ aCall.mExchange, aCall.mName, *above, {} });
  const auto it = std::prev(mWatchers.end());
  it->mTimer = mLoop.After(mWatchTimeout, [this, it] {
    const ExchangePtr exchange = it->mExchange;
    mWatchers.erase(it);
    if (!exchange->IsClosed()) {
      exchange->Respond(304, {}, {});
    }
  });
}

void Platform::Wake(const std::string& aName)
{
  const ObjectState state = mStore.Get(aName);
  for (auto it = mWatchers.begin(); it != mWatchers.end();) {
    if (it->mName == aName) {
      mLoop.Cancel(it->mTimer);
      Later([this, exchange = it->mExchange, state] {
        AnswerObject(exchange, state);
      });
      it = mWatchers.erase(it);
    } else {
      ++it;
    }
  }
}

void Platform::BreakWatches()
{
  for (const Watcher& it : mWatchers) {
    mLoop.Cancel(it.mTimer);
    it.mExchange->Abort();
  }
  mWatchers.clear();
}

void Platform::Answer(const Call& aCall, int aStatus, const Json& aBody,
                      http::Headers aHeaders)
{
  Later([exchange = aCall.mExchange, aStatus, aBody,
         headers = std::move(aHeaders)] {
    Reply(exchange, aStatus, aBody, headers);
  });
}

void Platform::AnswerObject(const ExchangePtr& aExchange,
                            const ObjectState& aState)
{
  if (!aState.IsPresent()) {
    Reply(aExchange, 404, { { "error", "no such object" } });
  } else if (!aExchange->IsClosed()) {
    aExchange->Respond(200, VersionTag(aState.mVersion), *aState.mValue);
  }
}

} // namespace auburnmux::standins
