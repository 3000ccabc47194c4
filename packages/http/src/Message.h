#pragma once

#include "base/Base.h"
#include "http/src/Headers.h"

#include <optional>
#include <string>

namespace auburnmux::http {

/** An address and port to connect to; the address is an IP number. */
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
  /** Length of the body; unset when it is sent in chunks or absent. */
  std::optional<base::ByteCount> mContentLength;
  /** Whether the body is sent in chunks. */
  bool mIsChunked = false;
  /** IP number of the caller; set on requests that a server received. */
  std::string mClientAddress;
};

/** Status and header fields of a response. */
struct ResponseHead
{
  int mStatus = 200;
  Headers mHeaders;
  /** Length of the body; unset sends or received it in chunks. */
  std::optional<base::ByteCount> mContentLength;
};

/** \returns \a aText as it may stand as a value in a query string. */
std::string EncodeQueryValue(const std::string& aText);

/** \returns the value of \a aKey in the query string \a aQuery, decoded. */
std::optional<std::string> QueryValue(const std::string& aQuery,
                                      const std::string& aKey);

} // namespace auburnmux::http
