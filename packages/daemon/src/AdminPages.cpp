#include "daemon/src/AdminPages.h"

#include "daemon/src/Refusal.h"

#include <nlohmann/json.hpp>

namespace auburnmux::daemon {

namespace {

using nlohmann::json;

const char* UpstreamText(const balancing::UpstreamStatus& aStatus)
{
  if (aStatus.mLeaving) {
    return "leaving";
  }
  if (aStatus.mEjected) {
    return "ejected";
  }
  switch (aStatus.mHealth) {
    case balancing::HealthState::Working:
      return "working";
    case balancing::HealthState::Slow:
      return "slow";
    case balancing::HealthState::Failing:
      return "failing";
    case balancing::HealthState::Unreachable:
      return "unreachable";
    case balancing::HealthState::Dead:
      return "dead";
  }
  return "unknown";
}

double Milliseconds(base::Duration aValue)
{
  return std::chrono::duration<double, std::milli>(aValue).count();
}

json UpstreamsOf(ServiceRuntime& aService, base::TimePoint aNow)
{
  json list = json::array();
  for (const balancing::UpstreamStatus& it :
       aService.Upstreams().Status(aNow)) {
    list.push_back({ { "id", it.mId.Text() },
                     { "state", UpstreamText(it) },
                     { "in_flight", it.mInFlight.Count() },
                     { "share", it.mUsableSlots.Count() },
                     { "latency_ms", Milliseconds(it.mLatency) } });
  }
  return list;
}

void RespondJson(http::ServerExchange& aExchange, const json& aBody)
{
  aExchange.Respond(200, { { "content-type", "application/json" } },
                    aBody.dump() + '\n');
}

void RespondText(http::ServerExchange& aExchange, int aStatus,
                 const std::string& aText)
{
  aExchange.Respond(aStatus,
                    { { "content-type", "text/plain; charset=utf-8" } }, aText);
}

} // namespace

AdminPages::AdminPages(PageSources aSources)
  : mSources(aSources)
{
}

bool AdminPages::IsReady() const
{
  return mSources.mConfig.State().InForce() != nullptr &&
         !mSources.mCluster.IsLeaving();
}

bool AdminPages::Handle(http::ServerExchange& aExchange)
{
  struct Page
  {
    const char* mPath;
    void (AdminPages::*mHandle)(http::ServerExchange&);
  };
  static constexpr Page kPages[] = { { "/v1/lookup", &AdminPages::Lookup },
                                     { "/v1/status", &AdminPages::Status },
                                     { "/v1/explain", &AdminPages::Explain },
                                     { "/v1/spans", &AdminPages::Spans },
                                     { "/metrics", &AdminPages::Metrics },
                                     { "/readyz", &AdminPages::Ready } };
  const http::RequestHead& head = aExchange.Head();
  for (const Page& it : kPages) {
    if (head.mPath == it.mPath) {
      if (head.mMethod == "GET") {
        (this->*it.mHandle)(aExchange);
      } else {
        SendRefusal(aExchange, { 405, base::WorkOutcome::NotRun,
                                 "this page takes GET only", std::nullopt });
      }
      return true;
    }
  }
  if (head.mPath == "/healthz") {
    RespondText(aExchange, 200, "ok\n");
    return true;
  }
  return false;
}

void AdminPages::Lookup(http::ServerExchange& aExchange)
{
  const http::RequestHead& head = aExchange.Head();
  const auto name = http::QueryValue(head.mQuery, "service");
  const config::Snapshot* snapshot = mSources.mConfig.State().InForce();
  if (!name) {
    SendRefusal(aExchange, { 400, base::WorkOutcome::NotRun,
                             "the query needs service=NAME", std::nullopt });
    return;
  }
  if (snapshot == nullptr) {
    SendRefusal(aExchange, { 503, base::WorkOutcome::NotRun,
                             "no configuration is in force yet",
                             std::chrono::seconds(1) });
    return;
  }
  const base::ServiceId service(*name);
  if (snapshot->FindService(service) == nullptr) {
    SendRefusal(aExchange,
                { 404, base::WorkOutcome::NotRun,
                  "no service of this name is in force", std::nullopt });
    return;
  }
  const std::string body = mSources.mLookup.Answer(
    service, head.mClientAddress, http::QueryValue(head.mQuery, "data_centre"));
  aExchange.Respond(200, { { "content-type", "application/json" } }, body);
}

void AdminPages::Status(http::ServerExchange& aExchange)
{
  const base::TimePoint now = mSources.mContext.mLoop.Now();
  const config::HostSettings& settings = mSources.mContext.mSettings;
  const config::ConfigState& state = mSources.mConfig.State();
  json peers = json::array();
  for (const membership::HostView& it : mSources.mCluster.View()) {
    peers.push_back({ { "host", it.mHost.mId.Text() },
                      { "state", cluster::HostStateName(it.mState) },
                      { "data_centre", it.mHost.mDataCentre.Text() } });
  }
  json services = json::array();
  for (const auto& [id, service] : mSources.mServiceManager.Services()) {
    services.push_back({ { "service", id.Text() },
                         { "in_flight", service->InFlight() },
                         { "queued", service->Queued() },
                         { "upstreams", UpstreamsOf(*service, now) } });
  }
  const double age = std::chrono::duration<double>(state.Age(now)).count();
  RespondJson(aExchange,
              { { "host", settings.mHost.Text() },
                { "data_centre", settings.mDataCentre.Text() },
                { "region", settings.mRegion.Text() },
                { "incarnation", mSources.mContext.mIncarnation.Count() },
                { "ready", IsReady() },
                { "leaving", mSources.mCluster.IsLeaving() },
                { "config",
                  { { "version", state.Tag().mVersion.Count() },
                    { "digest", state.Tag().mDigest.Text() },
                    { "age_s", age },
                    { "confirmed", state.IsConfirmed() } } },
                { "peers", peers },
                { "services", services } });
}

void AdminPages::Explain(http::ServerExchange& aExchange)
{
  const std::string& query = aExchange.Head().mQuery;
  const base::ServiceId id(http::QueryValue(query, "service").value_or(""));
  ServiceRuntime* service = mSources.mServiceManager.Find(id);
  if (service == nullptr) {
    SendRefusal(aExchange,
                { 404, base::WorkOutcome::NotRun,
                  "no service of this name is in force", std::nullopt });
    return;
  }
  const auto centre = http::QueryValue(query, "data_centre");
  http::RequestHead head;
  head.mMethod = http::QueryValue(query, "method").value_or("GET");
  head.mPath = '/' + id.Text() + http::QueryValue(query, "path").value_or("/");
  // Placeholder: non-idempotent routes need a key, but the query has none.
  head.mHeaders.Set("idempotency-key", "01900000-0000-7000-8000-000000000000");
  const base::TimePoint now = mSources.mContext.mLoop.Now();
  const auto plan =
    PlanRequest(head, service->File(), now, mSources.mContext.mRandom);
  json route;
  if (const auto* refusal = std::get_if<Refusal>(&plan)) {
    route = { { "refused", refusal->mStatus }, { "reason", refusal->mReason } };
  } else {
    const auto& it = std::get<RequestPlan>(plan);
    route = { { "class", config::WorkClassName(it.mClass) },
              { "work", it.mKind == base::WorkKind::Idempotent ? "idempotent"
                                                               : "once" },
              { "deadline_ms", Milliseconds(it.mDeadline - now) } };
  }
  const std::string hosts =
    mSources.mLookup.Answer(id, aExchange.Head().mClientAddress, centre);
  RespondJson(aExchange,
              { { "service", id.Text() },
                { "answered_by", mSources.mContext.mSettings.mHost.Text() },
                { "lookup", json::parse(hosts, nullptr, false) },
                { "route", route },
                { "queued", service->Queued() },
                { "free_slots", service->Upstreams().FreeSlots(now).Count() },
                { "upstreams", UpstreamsOf(*service, now) } });
}

void AdminPages::SetGauges()
{
  telemetry::Metrics& metrics = mSources.mContext.mMetrics;
  const peer::TransportCounts& counts = mSources.mTransport.Counts();
  metrics.Set("auburnmux_peer_sent_messages", {},
              static_cast<double>(counts.mSent));
  metrics.Set("auburnmux_peer_sent_bytes", {},
              static_cast<double>(counts.mSentBytes));
  metrics.Set("auburnmux_peer_received_bytes", {},
              static_cast<double>(counts.mReceivedBytes));
  metrics.Set("auburnmux_peer_queue_full", {},
              static_cast<double>(counts.mQueueFull));
  metrics.Set("auburnmux_peer_unauthorized", {},
              static_cast<double>(counts.mUnauthorized));
  for (const auto& [rejection, n] : counts.mRejected) {
    metrics.Set("auburnmux_peer_rejected",
                { { "reason", protocol::RejectionName(rejection) } },
                static_cast<double>(n));
  }
  metrics.Set(
    "auburnmux_config_version", {},
    static_cast<double>(mSources.mConfig.State().Tag().mVersion.Count()));
  for (std::size_t i = 0; i < objects::kCallPurposeCount; ++i) {
    const auto purpose = static_cast<objects::CallPurpose>(i);
    const auto& calls = mSources.mPlatform.Budget().Counts(purpose);
    const telemetry::Labels labels = { { "purpose",
                                         objects::PurposeName(purpose) } };
    metrics.Set("auburnmux_objects_calls", labels,
                static_cast<double>(calls.mMade));
    metrics.Set("auburnmux_objects_calls_refused", labels,
                static_cast<double>(calls.mRefused));
  }
  for (const auto& [id, service] : mSources.mServiceManager.Services()) {
    const telemetry::Labels labels = { { "service", id.Text() } };
    metrics.Set("auburnmux_in_flight", labels,
                static_cast<double>(service->InFlight()));
    metrics.Set("auburnmux_queued", labels, service->Queued());
  }
}

void AdminPages::Metrics(http::ServerExchange& aExchange)
{
  SetGauges();
  aExchange.Respond(
    200, { { "content-type", "text/plain; version=0.0.4" } },
    mSources.mContext.mMetrics.PrometheusText(mSources.mContext.mLoop.Now()));
}

void AdminPages::Spans(http::ServerExchange& aExchange)
{
  const auto trace = http::QueryValue(aExchange.Head().mQuery, "trace");
  RespondText(aExchange, 200,
              mSources.mContext.mSpans.Text(trace.value_or("")));
}

void AdminPages::Ready(http::ServerExchange& aExchange)
{
  if (IsReady()) {
    RespondText(aExchange, 200, "ready\n");
  } else {
    RespondText(aExchange, 503, "not ready\n");
  }
}

} // namespace auburnmux::daemon
