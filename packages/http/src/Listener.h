#pragma once

#include "http/src/Loop.h"
#include "http/src/Message.h"

#include <functional>

namespace auburnmux::http {

/** A listening IPv4 socket that accepts connections for a callback. */
class Listener
{
public:
  /** Takes ownership of the accepted, non-blocking descriptor. */
  using OnAccept = std::function<void(int aDescriptor)>;

  Listener(Loop& aLoop, const Endpoint& aListen, OnAccept aOnAccept);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  bool IsListening() const { return mSocket >= 0; }
  /** Closes the socket; further connections are refused. */
  void Close();

private:
  void Accept();

  Loop& mLoop;
  OnAccept mOnAccept;
  int mSocket = -1;
  Loop::WatchId mWatch;
};

} // namespace auburnmux::http
