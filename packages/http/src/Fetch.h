#pragma once

#include "http/src/Client.h"

#include <functional>
#include <string>

namespace auburnmux::http {

/** A whole response, or why there is none. */
struct FetchResult
{
  /** Unset when the whole response arrived. */
  std::optional<Failure> mFailure;
  /** Whether the failure is that the time ran out. */
  bool mIsTimeout = false;
  ResponseHead mHead;
  std::string mBody;

  bool IsOk() const { return !mFailure && mHead.mStatus / 100 == 2; }
};

using FetchDone = std::function<void(const FetchResult&)>;

/** Largest response body that Fetch() keeps; a longer one is a failure. */
constexpr base::ByteCount kMaxFetchBytes{ std::uint64_t{ 4 } << 20U };

/**
 * Sends a small request with its whole body and hands the whole response, or
 * the failure, to \a aDone, exactly once and within \a aTimeout.
 * \returns the exchange, which may be cancelled; \a aDone is then not called
 */
std::shared_ptr<ClientExchange> Fetch(Loop& aLoop, Client& aClient,
                                      ClientRequest aRequest,
                                      const std::string& aBody,
                                      base::Duration aTimeout, FetchDone aDone);

} // namespace auburnmux::http
