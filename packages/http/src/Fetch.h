#pragma once

#include "http/src/Client.h"

#include <functional>
#include <string>

namespace auburnmux::http {

/** A complete response, or the reason for its absence. */
struct FetchResult
{
  /** Unset if the response is complete. */
  std::optional<Failure> mFailure;
  /** Whether the failure is a timeout. */
  bool mIsTimeout = false;
  ResponseHead mHead;
  std::string mBody;

  bool IsOk() const { return !mFailure && mHead.mStatus / 100 == 2; }
};

using FetchDone = std::function<void(const FetchResult&)>;

/** Maximum response body size of Fetch(); a larger body is a failure. */
constexpr base::ByteCount kMaxFetchBytes{ std::uint64_t{ 4 } << 20U };

/**
 * Sends a request with its complete body. Calls \a aDone exactly once, within
 * \a aTimeout, with the complete response or the failure. Both bodies are held
 * in memory.
 * \returns the exchange; after its Cancel(), \a aDone is not called
 */
std::shared_ptr<ClientExchange> Fetch(Loop& aLoop, Client& aClient,
                                      ClientRequest aRequest,
                                      const std::string& aBody,
                                      base::Duration aTimeout, FetchDone aDone);

} // namespace auburnmux::http
