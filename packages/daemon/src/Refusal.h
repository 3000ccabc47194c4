#pragma once

#include "base/Base.h"
#include "http/Http.h"

#include <chrono>
#include <optional>
#include <string>

namespace auburnmux::daemon {

/** An answer that the host itself gives, with what is known of the work. */
struct Refusal
{
  int mStatus = 503;
  base::WorkOutcome mOutcome = base::WorkOutcome::NotRun;
  std::string mReason;
  std::optional<std::chrono::seconds> mRetryAfter;
};

/** \returns the value of the header `Work-Outcome`. */
const char* OutcomeText(base::WorkOutcome aOutcome);

/** Sends \a aRefusal as JSON. \pre no head was sent */
void SendRefusal(http::ServerExchange& aExchange, const Refusal& aRefusal);

} // namespace auburnmux::daemon
