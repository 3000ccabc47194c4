#include "daemon/src/Refusal.h"

#include <nlohmann/json.hpp>

namespace auburnmux::daemon {

const char* OutcomeText(base::WorkOutcome aOutcome)
{
  switch (aOutcome) {
    case base::WorkOutcome::Run:
      return "run";
    case base::WorkOutcome::NotRun:
      return "not-run";
    case base::WorkOutcome::NotKnown:
      return "not-known";
  }
  return "not-known";
}

void SendRefusal(http::ServerExchange& aExchange, const Refusal& aRefusal)
{
  http::Headers headers{ { "content-type", "application/json" },
                         { "work-outcome", OutcomeText(aRefusal.mOutcome) } };
  if (aRefusal.mRetryAfter) {
    headers.Set("retry-after", std::to_string(aRefusal.mRetryAfter->count()));
  }
  const nlohmann::json body = { { "outcome", OutcomeText(aRefusal.mOutcome) },
                                { "reason", aRefusal.mReason } };
  aExchange.Respond(aRefusal.mStatus, std::move(headers), body.dump());
}

} // namespace auburnmux::daemon
