#pragma once

#include "http/Http.h"

#include <string>

namespace auburnmux::process {

/** A blocking TCP connection for bytes that no HTTP client would send. */
class RawConnection
{
public:
  explicit RawConnection(const http::Endpoint& aEndpoint);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  bool IsOpen() const { return mDescriptor >= 0; }
  /** Sends as much as the other side takes. */
  void Send(const std::string& aBytes) const;
  /** \returns what arrives until \a aEnd, the close, or 15 s of silence. */
  std::string ReadUntil(const std::string& aEnd) const;

private:
  int mDescriptor = -1;
};

} // namespace auburnmux::process
