#pragma once

#include "base/Base.h"
#include "customers/Customers.h"
#include "http/Http.h"
#include "placing/Placing.h"

#include <memory>
#include <optional>
#include <string>

namespace auburnmux::entry {

/** What the header fields of a client state about its request. */
struct RequestFields
{
  /** Id of this attempt of the client; empty when it sent none. */
  std::string mId;
  /** How long the client waits for the response. */
  std::optional<base::Duration> mTimeLeft;
  /** Key of the object that the request refers to, for affinity. */
  std::optional<std::string> mObject;
  /** Key of the customer; none if the client sent none or several. */
  std::optional<std::string> mKey;
};

/** Who sent a request, where customers are configured. */
struct Sender
{
  /** Null for an anonymous request. */
  std::shared_ptr<const customers::Customer> mCustomer;
};

/** What the header fields of an upstream state about its response. */
struct ResponseFields
{
  /** The response bears the receipt of a request that the upstream has run. */
  bool mHasReceipt = false;
  /** The upstream did not and will not run the request. */
  bool mIsNotRun = false;
  /** Another upstream now has the address; it did not run the request. */
  bool mIsOtherUpstream = false;
  /** The upstream is draining and wants no new requests. */
  bool mIsLeaving = false;
  /** Time for which the upstream wants no requests of this host, named in a
   * rejection. */
  std::optional<base::Duration> mRetryAfter;
  /** Requests per second that the upstream takes from all hosts together. */
  std::optional<double> mLimit;
  std::optional<placing::LoadReport> mLoad;
};

/** What an upstream states in its response to a health check. */
struct HealthFields
{
  /** The upstream that responds. Without it, nothing shows that the response
   * comes from an upstream. */
  std::optional<base::UpstreamId> mUpstream;
  base::Duration mColdRemaining{};
  /** The upstream is draining and wants no new requests. */
  bool mIsLeaving = false;
};

/**
 * Reads and writes the header fields that clients, this host and upstreams
 * exchange about a request. The deployment defines their names.
 */
class Translator
{
public:
  virtual ~Translator() = default;
  virtual RequestFields ReadRequest(const http::RequestHead& aHead) const = 0;
  /**
   * Adds the fields that an upstream needs for an attempt.
   * \param aSender replaces what the client stated about itself. None where no
   * customers are configured: the client's fields are then left unchanged.
   */
  virtual void WriteAttempt(http::Headers& aHeaders, base::Duration aTimeLeft,
                            const base::UpstreamId& aUpstream,
                            const std::optional<Sender>& aSender) const = 0;
  virtual ResponseFields ReadResponse(
    const http::ResponseHead& aHead) const = 0;
  /** \returns the id of the request that a response names; none if it names
   * none, or several. */
  virtual std::optional<std::string> ReadRequestId(
    const http::ResponseHead& aHead) const = 0;
  virtual HealthFields ReadHealth(const http::ResponseHead& aHead) const = 0;
};

} // namespace auburnmux::entry
