#pragma once

#include "http/Http.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace auburnmux::standins {

using Json = nlohmann::json;
using ExchangePtr = std::shared_ptr<http::ServerExchange>;

/** Largest body of a control request or a stored object. */
constexpr std::size_t kMaxBodyBytes = std::size_t{ 1 } << 20U;

/** Answers with \a aBody as JSON, unless the connection is gone. */
void Reply(const ExchangePtr& aExchange, int aStatus, const Json& aBody,
           http::Headers aHeaders = {});

/**
 * Collects the request body and hands it to \a aDone. A body longer than
 * kMaxBodyBytes is refused with 413, and \a aDone is not called.
 */
void CollectBody(const ExchangePtr& aExchange,
                 std::function<void(const std::string&)> aDone);

/** \returns \a aText as a JSON object; unset when it is anything else. */
std::optional<Json> ParseObject(const std::string& aText);

/** \returns `ADDRESS:PORT` as an endpoint; unset when it isn't one. */
std::optional<http::Endpoint> ParseEndpoint(const std::string& aText);

/** \returns a duration of \a aCount ms. */
base::Duration Milliseconds(double aCount);

} // namespace auburnmux::standins
