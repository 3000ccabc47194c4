#include "objects/src/PlatformClient.h"

#include <charconv>
#include <optional>

namespace auburnmux::objects {

namespace {

using http::FetchResult;

constexpr const char* kObjectsPath = "/v1/objects/";
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;

std::string FormatEtag(base::ObjectVersion aVersion)
{
  return '"' + std::to_string(aVersion.Count()) + '"';
}

/** \returns the version in the ETag header; none if missing or invalid. */
std::optional<base::ObjectVersion> ParseEtag(const FetchResult& aResult)
{
  const auto tag = aResult.mHead.mHeaders.Find("etag");
  if (!tag || tag->size() < 3 || tag->front() != '"' || tag->back() != '"') {
    return std::nullopt;
  }
  std::uint64_t version = 0;
  const char* end = tag->data() + tag->size() - 1;
  const auto [at, ec] = std::from_chars(tag->data() + 1, end, version);
  if (ec != std::errc() || at != end || version == 0) {
    return std::nullopt;
  }
  return base::ObjectVersion(version);
}

/**
 * Classifies the failures that all calls have in common. A 5xx status isn't
 * treated as a refusal, because an intermediary may send it after the call took
 * effect; it leads to CallUnanswered.
 */
template<typename Result>
std::optional<Result> ReadFailure(const FetchResult& aResult)
{
  if (aResult.mFailure) {
    if (!aResult.mFailure->mMayHaveReached) {
      return CallRefused{ CallRefused::Reason::NotConnected };
    }
    return CallUnanswered{};
  }
  if (aResult.mHead.mStatus / 100 == 4 && aResult.mHead.mStatus != kNotFound &&
      aResult.mHead.mStatus != kPreconditionFailed) {
    return CallRefused{ CallRefused::Reason::Status };
  }
  return std::nullopt;
}

template<typename Result>
Result ReadObjectResult(const FetchResult& aResult)
{
  if (const auto failure = ReadFailure<Result>(aResult)) {
    return *failure;
  }
  const auto version = ParseEtag(aResult);
  if (aResult.IsOk() && version) {
    return ObjectFound{ *version, aResult.mBody };
  }
  if (aResult.mHead.mStatus == kNotFound) {
    return ObjectNotFound{};
  }
  if constexpr (std::is_same_v<Result, WatchResult>) {
    if (aResult.mHead.mStatus == kNotModified) {
      return ObjectUnchanged{};
    }
  }
  return CallUnanswered{};
}

PutResult ReadPutResult(const FetchResult& aResult)
{
  if (const auto failure = ReadFailure<PutResult>(aResult)) {
    return *failure;
  }
  const auto version = ParseEtag(aResult);
  if (aResult.IsOk() && version) {
    return ObjectStored{ *version };
  }
  // The platform may answer 404 to an update of a deleted object.
  if (aResult.mHead.mStatus == kPreconditionFailed ||
      aResult.mHead.mStatus == kNotFound) {
    return ConditionFailed{};
  }
  return CallUnanswered{};
}

DeleteResult ReadDeleteResult(const FetchResult& aResult)
{
  if (const auto failure = ReadFailure<DeleteResult>(aResult)) {
    return *failure;
  }
  if (aResult.IsOk()) {
    return ObjectDeleted{};
  }
  if (aResult.mHead.mStatus == kNotFound) {
    return ObjectNotFound{};
  }
  if (aResult.mHead.mStatus == kPreconditionFailed) {
    return ConditionFailed{};
  }
  return CallUnanswered{};
}

template<typename Result, auto Parse>
Result ReadListResult(const FetchResult& aResult)
{
  if (const auto failure = ReadFailure<Result>(aResult)) {
    return *failure;
  }
  if (aResult.IsOk()) {
    if (auto list = Parse(aResult.mBody)) {
      return std::move(*list);
    }
  }
  return CallUnanswered{};
}

} // namespace

http::ClientOptions PlatformClient::ConnectionOptions()
{
  http::ClientOptions options;
  options.mUnacknowledgedTimeout = std::chrono::seconds(2);
  options.mProbeAfter = std::chrono::seconds(1);
  options.mMaxProbes = 1;
  return options;
}

PlatformClient::PlatformClient(http::Loop& aLoop, http::Client& aClient,
                               http::Endpoint aPlatform, CallBudget aBudget)
  : mLoop(aLoop)
  , mClient(aClient)
  , mPlatform(std::move(aPlatform))
  , mBudget(aBudget)
{
}

void PlatformClient::Get(const std::string& aName, CallOptions aOptions,
                         Done<GetResult> aDone)
{
  Send(MakeRequest("GET", kObjectsPath + aName), {}, aOptions, std::move(aDone),
       &ReadObjectResult<GetResult>);
}

void PlatformClient::Watch(const std::string& aName, base::ObjectVersion aAbove,
                           CallOptions aOptions, Done<WatchResult> aDone)
{
  const std::string target =
    kObjectsPath + aName + "?watch=" + std::to_string(aAbove.Count());
  Send(MakeRequest("GET", target), {}, aOptions, std::move(aDone),
       &ReadObjectResult<WatchResult>);
}

void PlatformClient::Put(const std::string& aName, const std::string& aBytes,
                         const WriteCondition& aCondition, CallOptions aOptions,
                         Done<PutResult> aDone)
{
  if (aBytes.size() > kMaxValueBytes.Count()) {
    Refuse(CallRefused::Reason::TooLarge, std::move(aDone));
    return;
  }
  http::ClientRequest request = MakeRequest("PUT", kObjectsPath + aName);
  if (const auto* version = std::get_if<IfVersion>(&aCondition)) {
    request.mHeaders.Set("if-match", FormatEtag(version->mVersion));
  } else {
    request.mHeaders.Set("if-none-match", "*");
  }
  Send(request, aBytes, aOptions, std::move(aDone), &ReadPutResult);
}

void PlatformClient::Delete(const std::string& aName,
                            base::ObjectVersion aIfVersion,
                            CallOptions aOptions, Done<DeleteResult> aDone)
{
  http::ClientRequest request = MakeRequest("DELETE", kObjectsPath + aName);
  request.mHeaders.Set("if-match", FormatEtag(aIfVersion));
  Send(request, {}, aOptions, std::move(aDone), &ReadDeleteResult);
}

void PlatformClient::List(const std::string& aPrefix, CallOptions aOptions,
                          Done<ListResult> aDone)
{
  Send(MakeRequest("GET", "/v1/objects?prefix=" + aPrefix), {}, aOptions,
       std::move(aDone), &ReadListResult<ListResult, &ParseObjectList>);
}

void PlatformClient::ListHosts(CallOptions aOptions, Done<HostsResult> aDone)
{
  Send(MakeRequest("GET", "/v1/hosts"), {}, aOptions, std::move(aDone),
       &ReadListResult<HostsResult, &ParseHostList>);
}

http::ClientRequest PlatformClient::MakeRequest(
  const char* aMethod, const std::string& aTarget) const
{
  http::ClientRequest request;
  request.mEndpoint = mPlatform;
  request.mMethod = aMethod;
  request.mTarget = aTarget;
  return request;
}

template<typename Result>
void PlatformClient::Send(const http::ClientRequest& aRequest,
                          const std::string& aBody, CallOptions aOptions,
                          Done<Result> aDone,
                          Result (*aReadResult)(const http::FetchResult&))
{
  if (!mBudget.Take(aOptions.mPurpose, mLoop.Now())) {
    Refuse(CallRefused::Reason::Budget, std::move(aDone));
    return;
  }
  http::Fetch(mLoop, mClient, aRequest, aBody, aOptions.mTimeout,
              [done = std::move(aDone), aReadResult](
                const FetchResult& aResult) { done(aReadResult(aResult)); });
}

template<typename Result>
void PlatformClient::Refuse(CallRefused::Reason aReason, Done<Result> aDone)
{
  mLoop.After(base::Duration::zero(), [done = std::move(aDone), aReason] {
    done(CallRefused{ aReason });
  });
}

} // namespace auburnmux::objects
