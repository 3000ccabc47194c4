#pragma once

#include "base/Base.h"
#include "http/Http.h"
#include "peer/src/FleetKey.h"
#include "protocol/Protocol.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace auburnmux::peer {

/** Who a host is and where its peers reach it. */
struct TransportSettings
{
  base::HostId mSelf;
  base::Incarnation mIncarnation;
  http::Endpoint mListen;
  /** Unset talks in the clear, for tests on one machine. */
  std::optional<FleetKey> mKey;
};

/** Messages since the start. */
struct TransportCounts
{
  std::uint64_t mSent = 0;
  std::uint64_t mSentBytes = 0;
  std::uint64_t mReceived = 0;
  std::uint64_t mReceivedBytes = 0;
  /** Dropped because the queue to the peer was full. */
  std::uint64_t mQueueFull = 0;
  /** Connections refused because they did not prove the fleet key. */
  std::uint64_t mUnauthorized = 0;
  std::map<protocol::Rejection, std::uint64_t> mRejected;
};

/**
 * One-way messages between hosts over ZeroMQ: one ROUTER that is bound, one
 * DEALER for each peer. Messages may be lost; a full queue drops.
 */
class Transport
{
public:
  using Handler = std::function<void(const protocol::Envelope&)>;

  Transport(http::Loop& aLoop, TransportSettings aSettings, Handler aHandler);
  ~Transport();
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  /** \returns whether the listening address could be bound. */
  bool IsListening() const;

  /** Fills in the sender's part of \a aEnvelope and queues it. */
  void Send(const http::Endpoint& aTo, protocol::Envelope aEnvelope);

  const TransportCounts& Counts() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace auburnmux::peer
