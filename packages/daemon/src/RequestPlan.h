#pragma once

#include "base/Base.h"
#include "config/Config.h"
#include "http/Http.h"
#include "idempotency/Idempotency.h"
#include "limits/Limits.h"
#include "telemetry/Telemetry.h"

#include <optional>
#include <string>
#include <variant>

#include "daemon/src/Refusal.h"

namespace auburnmux::daemon {

/** Route, deadline, key and grant of a request, derived from its head. */
struct RequestPlan
{
  base::ServiceId mService;
  base::WorkClass mClass = base::WorkClass::Short;
  base::WorkKind mKind = base::WorkKind::NonIdempotent;
  /** Path and query at the upstream. */
  std::string mTarget;
  base::TimePoint mArrival;
  base::TimePoint mDeadline;
  limits::CallerKey mCaller;
  telemetry::TraceContext mTrace;
  std::uint64_t mParentSpan = 0;
  /** Set for non-idempotent work. */
  std::optional<idempotency::IdempotencyKey> mKey;
  /** Token of the grant under which another host forwarded the request. */
  std::optional<std::uint64_t> mGrant;
  /** Host that forwarded the request; set together with mGrant. */
  base::HostId mOrigin;
  /** Region of the client if it differs from this host's. */
  std::optional<base::RegionId> mForeignRegion;
};

/** A request path, split into the service name (first segment) and the path
 * within the service. */
struct ServicePath
{
  base::ServiceId mService;
  std::string mRest;
};

/** \returns the parts of `/SERVICE/REST`. */
ServicePath SplitServicePath(const std::string& aPath);

/** \returns the plan, or a refusal when no route matches or a header is missing
 * or malformed. */
std::variant<RequestPlan, Refusal> PlanRequest(
  const http::RequestHead& aHead, const config::ServiceFile& aService,
  base::TimePoint aNow, base::Random& aRandom);

} // namespace auburnmux::daemon
