#include "daemon/src/RequestPlan.h"

#include "retries/Retries.h"

#include <charconv>

namespace auburnmux::daemon {

namespace {

std::optional<config::HttpMethod> ParseMethod(const std::string& aName)
{
  using config::HttpMethod;
  for (const HttpMethod it :
       { HttpMethod::Get, HttpMethod::Head, HttpMethod::Post, HttpMethod::Put,
         HttpMethod::Patch, HttpMethod::Delete }) {
    if (aName == config::MethodName(it)) {
      return it;
    }
  }
  return std::nullopt;
}

Refusal NotRun(int aStatus, std::string aReason)
{
  return { aStatus, base::WorkOutcome::NotRun, std::move(aReason),
           std::nullopt };
}

bool HasPath(const config::ServiceFile& aService, const std::string& aPath)
{
  for (const config::Route& it : aService.mRoutes) {
    if (it.MatchesPath(aPath)) {
      return true;
    }
  }
  return false;
}

/** Sets the deadline from its header or from the route's default. \returns a
 * refusal when the header is malformed. */
std::optional<Refusal> ReadDeadline(const http::RequestHead& aHead,
                                    const config::Route& aRoute,
                                    RequestPlan& aPlan)
{
  using retries::HopDeadline;
  const auto text = aHead.mHeaders.Find(HopDeadline::kHeader);
  const auto deadline =
    text ? HopDeadline::Parse(aPlan.mArrival, *text)
         : HopDeadline::Default(aPlan.mArrival, aRoute.mDeadline);
  if (!deadline) {
    return NotRun(400, "request-deadline-ms is not a number of milliseconds");
  }
  aPlan.mDeadline = deadline->Time();
  return std::nullopt;
}

/** Sets the idempotency key of non-idempotent work. \returns a refusal when it
 * is missing or malformed. */
std::optional<Refusal> ReadKey(const http::RequestHead& aHead,
                               RequestPlan& aPlan)
{
  if (aPlan.mKind == base::WorkKind::Idempotent) {
    return std::nullopt;
  }
  const auto text = aHead.mHeaders.Find("idempotency-key");
  if (!text) {
    return NotRun(400, "this request needs the header Idempotency-Key");
  }
  aPlan.mKey = idempotency::IdempotencyKey::Parse(*text);
  if (!aPlan.mKey) {
    return NotRun(400, "Idempotency-Key is not a UUID version 7");
  }
  return std::nullopt;
}

/** Sets the grant token and the forwarding host, if given. \returns a refusal
 * when the token is malformed or comes without its origin. */
std::optional<Refusal> ReadGrant(const http::RequestHead& aHead,
                                 RequestPlan& aPlan)
{
  const auto text = aHead.mHeaders.Find("auburnmux-grant");
  if (!text) {
    return std::nullopt;
  }
  std::uint64_t token = 0;
  const auto result =
    std::from_chars(text->data(), text->data() + text->size(), token);
  if (result.ec != std::errc() || result.ptr != text->data() + text->size()) {
    return NotRun(400, "auburnmux-grant is malformed");
  }
  const auto origin = aHead.mHeaders.Find("auburnmux-origin");
  if (!origin) {
    return NotRun(400, "auburnmux-grant needs the header auburnmux-origin");
  }
  aPlan.mGrant = token;
  aPlan.mOrigin = base::HostId(std::string(*origin));
  return std::nullopt;
}

void ReadTrace(const http::RequestHead& aHead, base::Random& aRandom,
               RequestPlan& aPlan)
{
  const auto text = aHead.mHeaders.Find("traceparent");
  const auto parent = text ? telemetry::ParseTraceContext(*text) : std::nullopt;
  aPlan.mTrace = parent ? telemetry::ChildOf(*parent, aRandom)
                        : telemetry::StartTrace(aRandom);
  aPlan.mParentSpan = parent ? parent->mSpan : 0;
}

} // namespace

ServicePath SplitServicePath(const std::string& aPath)
{
  const std::size_t n = aPath.find('/', 1);
  if (aPath.size() < 2 || aPath.front() != '/') {
    return {};
  }
  if (n == std::string::npos) {
    return { base::ServiceId(aPath.substr(1)), "/" };
  }
  return { base::ServiceId(aPath.substr(1, n - 1)), aPath.substr(n) };
}

std::variant<RequestPlan, Refusal> PlanRequest(
  const http::RequestHead& aHead, const config::ServiceFile& aService,
  base::TimePoint aNow, base::Random& aRandom)
{
  const std::string path = SplitServicePath(aHead.mPath).mRest;
  const auto method = ParseMethod(aHead.mMethod);
  const config::Route* route =
    method ? aService.FindRoute(*method, path) : nullptr;
  if (route == nullptr) {
    return HasPath(aService, path)
             ? NotRun(405, "no route of the service takes this method")
             : NotRun(404, "no route of the service has this path");
  }
  if (aHead.mContentLength && *aHead.mContentLength > route->mMaxBody) {
    return NotRun(413, "the body is larger than the route allows");
  }
  RequestPlan plan;
  plan.mService = aService.mService;
  plan.mClass = route->mClass;
  plan.mKind = route->mWork;
  plan.mTarget = path + (aHead.mQuery.empty() ? "" : '?' + aHead.mQuery);
  plan.mArrival = aNow;
  plan.mCaller = limits::CallerKey(base::Hash64(aHead.mClientAddress));
  ReadTrace(aHead, aRandom, plan);
  for (auto* step : { &ReadKey, &ReadGrant }) {
    if (auto refusal = step(aHead, plan)) {
      return *refusal;
    }
  }
  if (auto refusal = ReadDeadline(aHead, *route, plan)) {
    return *refusal;
  }
  return plan;
}

} // namespace auburnmux::daemon
