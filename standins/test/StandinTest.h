#pragma once

#include "http/Http.h"

#include "base/test/support/Property.h"

#include <string>

namespace auburnmux::standins {

/** A loop and a client; the base of the test groups that use sockets. */
struct SocketGroup : public Utest
{
  http::Loop mLoop;
  http::Client mClient{ mLoop };

  static http::ClientRequest Request(std::uint16_t aPort,
                                     const std::string& aMethod,
                                     const std::string& aTarget)
  {
    return { { "127.0.0.1", base::PortNumber(aPort) }, aMethod, aTarget };
  }

  /** Serves the loop until the response is there. */
  http::FetchResult Fetch(const http::ClientRequest& aRequest,
                          const std::string& aBody = {},
                          base::Duration aTimeout = std::chrono::seconds(10))
  {
    http::FetchResult result;
    http::Fetch(mLoop, mClient, aRequest, aBody, aTimeout,
                [&](const http::FetchResult& aResult) {
                  result = aResult;
                  mLoop.Stop();
                });
    mLoop.Run();
    return result;
  }

  void RunFor(base::Duration aTime)
  {
    mLoop.After(aTime, [this] { mLoop.Stop(); });
    mLoop.Run();
  }
};

} // namespace auburnmux::standins
