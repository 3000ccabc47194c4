#pragma once

#include "base/Base.h"
#include "http/Http.h"
#include "placing/Placing.h"

#include <optional>
#include <string>

namespace auburnmux::entry {

/** What a client says of its request besides the HTTP request itself. */
struct RequestFacts
{
  /** Id of this attempt of the client; empty when it sent none. */
  std::string mId;
  /** How long the client will wait. */
  std::optional<base::Duration> mTimeLeft;
  /** Names the object that the request is about. */
  std::optional<std::string> mObject;
};

/** What an upstream says of its response. */
struct ResponseFacts
{
  /** The upstream did not and will not run the request. */
  bool mIsNotRun = false;
  /** Another upstream has the address now; it did not run the request. */
  bool mIsOtherUpstream = false;
  std::optional<placing::LoadReport> mLoad;
};

/** What an upstream says in a health check. */
struct HealthFacts
{
  std::optional<base::UpstreamId> mUpstream;
  base::Duration mColdFor{};
};

/**
 * Reads and writes the fields by which clients, the host and upstreams talk
 * about a request. Their names are the deployment's.
 */
class Translator
{
public:
  virtual ~Translator() = default;
  virtual RequestFacts ReadRequest(const http::RequestHead& aHead) const = 0;
  /** Adds what the upstream has to know of an attempt. */
  virtual void WriteAttempt(http::Headers& aHeaders, base::Duration aTimeLeft,
                            const base::UpstreamId& aUpstream) const = 0;
  virtual ResponseFacts ReadResponse(const http::ResponseHead& aHead) const = 0;
  /** \returns whether the response is to the request with \a aId. */
  virtual bool IsResponseTo(const http::ResponseHead& aHead,
                            const std::string& aId) const = 0;
  virtual HealthFacts ReadHealth(const http::ResponseHead& aHead) const = 0;
};

} // namespace auburnmux::entry
