#pragma once

#include "http/Http.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace auburnmux::process {

using Json = nlohmann::json;

/** A response as the tests look at it. */
struct Reply
{
  /** 0 when no whole response arrived. */
  int mStatus = 0;
  /** The header `Work-Outcome`; "none" when there is none. */
  std::string mOutcome = "none";
  http::Headers mHeaders;
  std::string mBody;

  Json ParseBody() const { return Json::parse(mBody, nullptr, false); }
};

/** Blocking HTTP requests, and waits that keep open requests served. */
class HttpProbe
{
public:
  /** A request under way; Wait() takes its reply. */
  using Pending = std::shared_ptr<std::optional<Reply>>;

  Pending Start(const http::ClientRequest& aRequest,
                const std::string& aBody = {},
                base::Duration aTimeout = std::chrono::seconds(15));
  Reply Wait(const Pending& aPending);
  Reply Send(const http::ClientRequest& aRequest, const std::string& aBody = {},
             base::Duration aTimeout = std::chrono::seconds(15));

  /** Waits until \a aIsMet. \returns whether that was within \a aBound. */
  bool Until(const std::function<bool()>& aIsMet,
             base::Duration aBound = std::chrono::seconds(15));
  void RunFor(base::Duration aTime);

private:
  http::Loop mLoop;
  http::Client mClient{ mLoop };
};

} // namespace auburnmux::process
