#pragma once

#include "base/Base.h"
#include "http/Http.h"

#include <chrono>
#include <optional>
#include <string>

namespace auburnmux::daemon {

/** An error response that this host generates itself. It states whether the
 * request ran at an upstream. */
struct Refusal
{
  int mStatus = 503;
  base::WorkOutcome mOutcome = base::WorkOutcome::NotRun;
  std::string mReason;
  std::optional<std::chrono::seconds> mRetryAfter;
};

/** \returns \a aOutcome as a value of the `Work-Outcome` header. */
const char* OutcomeText(base::WorkOutcome aOutcome);

/** Sends \a aRefusal as JSON. \pre no response head was sent */
void SendRefusal(http::ServerExchange& aExchange, const Refusal& aRefusal);

} // namespace auburnmux::daemon
