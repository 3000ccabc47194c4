#pragma once

#include <string_view>

#include "base/Base.h"

namespace auburnmux::idempotency {

/** Hash of service, method, path and body: what a key must always name. */
using RequestHash = base::Quantity<struct RequestHashTag>;

/** The parts of a request that a repetition with the same key must share. */
struct RequestIdentity
{
  std::string_view mService;
  std::string_view mMethod;
  std::string_view mPath;
  std::string_view mBody;
};

/** \returns the hash; the parts are hashed one by one, so that text that
 * moves from one part to the next changes it. */
inline RequestHash HashRequest(const RequestIdentity& aRequest)
{
  std::uint64_t hash = base::Hash64(aRequest.mService);
  hash = base::Hash64(aRequest.mMethod, hash);
  hash = base::Hash64(aRequest.mPath, hash);
  return RequestHash(base::Hash64(aRequest.mBody, hash));
}

} // namespace auburnmux::idempotency
