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

/** What is decided about a request from its head alone. */
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
  /** The grant against which another host forwarded the request. */
  std::optional<std::uint64_t> mGrant;
  /** The host that forwarded the request against the grant. */
  base::HostId mOrigin;
  /** Region of the client when it is another one than the host's. */
  std::optional<base::RegionId> mForeignRegion;
};

/** The first segment of a path names the service; the rest is its own. */
struct ServicePath
{
  base::ServiceId mService;
  std::string mRest;
};

/** \returns the parts of `/SERVICE/REST`. */
ServicePath SplitServicePath(const std::string& aPath);

/** \returns the plan, or the refusal of a head that can't be served. */
std::variant<RequestPlan, Refusal> PlanRequest(
  const http::RequestHead& aHead, const config::ServiceFile& aService,
  base::TimePoint aNow, base::Random& aRandom);

} // namespace auburnmux::daemon
