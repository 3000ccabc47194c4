#pragma once

#include "base/Base.h"
#include "http/src/Headers.h"

#include <optional>
#include <string>

namespace auburnmux::http {

/** An IPv4 address in dotted notation and a port. */
struct Endpoint
{
  std::string mAddress;
  base::PortNumber mPort;

  friend bool operator==(const Endpoint& aLeft, const Endpoint& aRight)
  {
    return aLeft.mPort == aRight.mPort && aLeft.mAddress == aRight.mAddress;
  }
  friend bool operator<(const Endpoint& aLeft, const Endpoint& aRight)
  {
    return aLeft.mAddress != aRight.mAddress ? aLeft.mAddress < aRight.mAddress
                                             : aLeft.mPort < aRight.mPort;
  }
};

/** Method, target and header fields of a request. */
struct RequestHead
{
  std::string mMethod;
  std::string mPath;
  /** The part after '?', without it. */
  std::string mQuery;
  Headers mHeaders;
  /** Length of the body; unset if it is chunked or absent. */
  std::optional<base::ByteCount> mContentLength;
  /** Whether the body is chunked. */
  bool mIsChunked = false;
  /** IP address of the caller; set on requests that a server received. */
  std::string mClientAddress;
};

/** Status and header fields of a response. */
struct ResponseHead
{
  int mStatus = 200;
  Headers mHeaders;
  /** Length of the body. If unset, a server sends the body chunked; a received
   * body is chunked or ends with its connection. */
  std::optional<base::ByteCount> mContentLength;
};

/** \returns \a aText percent-encoded for use as a value in a query string. */
std::string EncodeQueryValue(const std::string& aText);

/** \returns the value of \a aKey in the query string \a aQuery, decoded. */
std::optional<std::string> QueryValue(const std::string& aQuery,
                                      const std::string& aKey);

} // namespace auburnmux::http
