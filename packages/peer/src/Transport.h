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

/** Identity, listening address and key of a host. */
struct TransportSettings
{
  base::HostId mSelf;
  base::Incarnation mIncarnation;
  http::Endpoint mListen;
  /** Without a key the traffic is unencrypted, for tests on one machine. */
  std::optional<FleetKey> mKey;
};

/** Message counters since the start. */
struct TransportCounts
{
  std::uint64_t mSent = 0;
  std::uint64_t mSentBytes = 0;
  std::uint64_t mReceived = 0;
  std::uint64_t mReceivedBytes = 0;
  /** Dropped because the queue to the peer was full. */
  std::uint64_t mQueueFull = 0;
  /** Connections refused because the peer did not have the fleet key. */
  std::uint64_t mUnauthorized = 0;
  /** Received messages that failed validation, by reason. */
  std::map<protocol::Rejection, std::uint64_t> mRejected;
};

/**
 * Sends one-way messages between hosts over ZeroMQ, with one bound ROUTER
 * socket to receive and one DEALER socket per peer to send. Messages may be
 * lost; they are dropped while the queue to a peer is full.
 */
class Transport
{
public:
  using Handler = std::function<void(const protocol::Envelope&)>;

  /** Time after which a connection that became silent has been replaced. */
  static constexpr base::Duration kSilenceTimeout =
    std::chrono::milliseconds(1600);

  Transport(http::Loop& aLoop, TransportSettings aSettings, Handler aHandler);
  ~Transport();
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  /** \returns whether binding the listening address succeeded. */
  bool IsListening() const;

  /** Sets the protocol version, sender and sequence of \a aEnvelope and queues
   * it for the peer. */
  void Send(const http::Endpoint& aTo, protocol::Envelope aEnvelope);

  const TransportCounts& Counts() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace auburnmux::peer
