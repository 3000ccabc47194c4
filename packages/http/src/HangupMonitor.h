#pragma once

#include "http/src/Loop.h"

#include <functional>

namespace auburnmux::http::internal {

/**
 * Tells when the other side closes its end of a connection. libwebsockets
 * doesn't while a request is answered, and its loop then spins on the socket.
 */
class HangupMonitor
{
public:
  using OnHangup = std::function<void(int aDescriptor)>;

  HangupMonitor(Loop& aLoop, OnHangup aOnHangup);
  ~HangupMonitor();
  HangupMonitor(const HangupMonitor&) = delete;
  HangupMonitor& operator=(const HangupMonitor&) = delete;

  /** Reports the close of \a aDescriptor once; closing it here ends that. */
  void Add(int aDescriptor);

private:
  void HandleEvents();

  Loop& mLoop;
  OnHangup mOnHangup;
  int mEpoll;
  Loop::WatchId mWatch;
};

} // namespace auburnmux::http::internal
