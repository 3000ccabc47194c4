#pragma once

#include <string_view>

#include "base/Base.h"

namespace auburnmux::idempotency {

/** Hash of a request's service, method, path and body. All requests with the
 * same key must have the same hash. */
using RequestHash = base::Quantity<struct RequestHashTag>;

/** The parts of a request that must be the same in a retry with the same
 * key. */
struct RequestIdentity
{
  std::string_view mService;
  std::string_view mMethod;
  std::string_view mPath;
  std::string_view mBody;
};

/** \returns the hash of \a aRequest. The parts are hashed separately, so that
 * requests whose parts only concatenate to the same text differ. */
inline RequestHash HashRequest(const RequestIdentity& aRequest)
{
  std::uint64_t hash = base::Hash64(aRequest.mService);
  hash = base::Hash64(aRequest.mMethod, hash);
  hash = base::Hash64(aRequest.mPath, hash);
  return RequestHash(base::Hash64(aRequest.mBody, hash));
}

} // namespace auburnmux::idempotency
