#include "objects/src/PlatformClient.h"

#include <charconv>
#include <optional>

namespace auburnmux::objects {

namespace {

using http::FetchResult;

constexpr const char* kObjects = "/v1/objects/";
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;

std::string TagText(base::ObjectVersion aVersion)
{
  return '"' + std::to_string(aVersion.Count()) + '"';
}

/** \returns the version in the ETag header, or nothing. */
std::optional<base::ObjectVersion> VersionOf(const FetchResult& aResult)
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
 * Reads what all calls have in common. A 5xx may come from an intermediary
 * after the call took effect, so it counts as no answer.
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
Result ReadValue(const FetchResult& aResult)
{
  if (const auto failure = ReadFailure<Result>(aResult)) {
    return *failure;
  }
  const auto version = VersionOf(aResult);
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

PutResult ReadStored(const FetchResult& aResult)
{
  if (const auto failure = ReadFailure<PutResult>(aResult)) {
    return *failure;
  }
  const auto version = VersionOf(aResult);
  if (aResult.IsOk() && version) {
    return ObjectStored{ *version };
  }
  // An update of an object that is gone may be answered with 404.
  if (aResult.mHead.mStatus == kPreconditionFailed ||
      aResult.mHead.mStatus == kNotFound) {
    return ConditionFailed{};
  }
  return CallUnanswered{};
}

DeleteResult ReadDeleted(const FetchResult& aResult)
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
Result ReadList(const FetchResult& aResult)
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
  Send(Request("GET", kObjects + aName), {}, aOptions, std::move(aDone),
       &ReadValue<GetResult>);
}

void PlatformClient::Watch(const std::string& aName, base::ObjectVersion aAbove,
                           CallOptions aOptions, Done<WatchResult> aDone)
{
  const std::string target =
    kObjects + aName + "?watch=" + std::to_string(aAbove.Count());
  Send(Request("GET", target), {}, aOptions, std::move(aDone),
       &ReadValue<WatchResult>);
}

void PlatformClient::Put(const std::string& aName, const std::string& aBytes,
                         const WriteCondition& aCondition, CallOptions aOptions,
                         Done<PutResult> aDone)
{
  if (aBytes.size() > kMaxValueBytes.Count()) {
    Refuse(CallRefused::Reason::TooLarge, std::move(aDone));
    return;
  }
  http::ClientRequest request = Request("PUT", kObjects + aName);
  if (const auto* version = std::get_if<IfVersion>(&aCondition)) {
    request.mHeaders.Set("if-match", TagText(version->mVersion));
  } else {
    request.mHeaders.Set("if-none-match", "*");
  }
  Send(request, aBytes, aOptions, std::move(aDone), &ReadStored);
}

void PlatformClient::Delete(const std::string& aName,
                            base::ObjectVersion aIfVersion,
                            CallOptions aOptions, Done<DeleteResult> aDone)
{
  http::ClientRequest request = Request("DELETE", kObjects + aName);
  request.mHeaders.Set("if-match", TagText(aIfVersion));
  Send(request, {}, aOptions, std::move(aDone), &ReadDeleted);
}

void PlatformClient::List(const std::string& aPrefix, CallOptions aOptions,
                          Done<ListResult> aDone)
{
  Send(Request("GET", "/v1/objects?prefix=" + aPrefix), {}, aOptions,
       std::move(aDone), &ReadList<ListResult, &ParseObjectList>);
}

void PlatformClient::Hosts(CallOptions aOptions, Done<HostsResult> aDone)
{
  Send(Request("GET", "/v1/hosts"), {}, aOptions, std::move(aDone),
       &ReadList<HostsResult, &ParseHostList>);
}

http::ClientRequest PlatformClient::Request(const char* aMethod,
                                            const std::string& aTarget) const
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
                          Result (*aRead)(const http::FetchResult&))
{
  if (!mBudget.Take(aOptions.mPurpose, mLoop.Now())) {
    Refuse(CallRefused::Reason::Budget, std::move(aDone));
    return;
  }
  http::Fetch(mLoop, mClient, aRequest, aBody, aOptions.mTimeout,
              [done = std::move(aDone), aRead](const FetchResult& aResult) {
                done(aRead(aResult));
              });
}

template<typename Result>
void PlatformClient::Refuse(CallRefused::Reason aReason, Done<Result> aDone)
{
  mLoop.After(base::Duration::zero(), [done = std::move(aDone), aReason] {
    done(CallRefused{ aReason });
  });
}

} // namespace auburnmux::objects
