#pragma once

#include "http/Http.h"

#include <string>

namespace auburnmux::standins {

/** What a caller may conclude from one attempt. */
enum class Verdict
{
  /** The whole answer to the caller's own request. */
  Own,
  /** A success that is cut, or that answers another request. */
  Wrong,
  NotRun,
  NotKnown,
  /** No connection; the request reached nobody. */
  NotReached,
  /** The request may have run: broken or late, or an unclear status. */
  Broken
};

/** What the answer to a request has to repeat. */
struct ExpectedAnswer
{
  std::string mNonce;
  std::string mKey;
  std::string mDigest;
};

Verdict CheckAnswer(const ExpectedAnswer& aExpected,
                    const http::FetchResult& aResult);

} // namespace auburnmux::standins
