#pragma once

#include "standins/src/Exchange.h"
#include "standins/src/LinkPipe.h"

#include <list>
#include <memory>

namespace auburnmux::standins {

/** A TCP link between two processes that can fail. */
class Link
{
public:
  Link(http::Loop& aLoop, const http::Endpoint& aListen, http::Endpoint aTo);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  bool IsListening() const { return mListener.IsListening(); }
  /**
   * Takes `cut` (closes connections and refuses new ones), `frozen` (holds
   * both directions), `one_way` (`forward` or `backward` is the direction
   * that still works, anything else means both) and `delay_ms` (each way).
   */
  void Configure(const Json& aChange);
  /** Silences the open connections for good; new ones work. */
  void SilenceConnections();
  Json Stats() const;

private:
  struct Connection
  {
    ~Connection();
    int mCaller = -1;
    int mTarget = -1;
    int mEnded = 0;
    std::unique_ptr<LinkPipe> mForward;
    std::unique_ptr<LinkPipe> mBackward;
  };

  void Accept(int aDescriptor);
  void HandleEnd(Connection* aConnection);

  http::Loop& mLoop;
  http::Endpoint mTo;
  bool mIsCut = false;
  bool mIsFrozen = false;
  std::string mOneWay;
  PipeFaults mForward;
  PipeFaults mBackward;
  std::list<std::unique_ptr<Connection>> mConnections;
  std::uint64_t mAccepted = 0;
  http::Listener mListener;
};

} // namespace auburnmux::standins
