#include "peer/src/Transport.h"

#include <array>
#include <chrono>
#include <zmq.hpp>

namespace auburnmux::peer {

namespace {

// Send queue limit per peer, about a few seconds of messages. A longer queue
// would only deliver stale messages once a link recovers.
constexpr int kMaxQueuedMessages = 128;
constexpr int kHeartbeatIntervalMs = 500;
constexpr int kHeartbeatTimeoutMs = 1000;
constexpr int kInitialReconnectMs = 100;
static_assert(std::chrono::milliseconds(kHeartbeatIntervalMs +
                                        kHeartbeatTimeoutMs +
                                        kInitialReconnectMs) <=
              Transport::kSilenceTimeout);
constexpr int kMaxReconnectMs = 1000;
constexpr std::size_t kMaxPeers = 512;

// Maximum number of messages handled in one turn of the event loop, so that
// requests aren't delayed by a burst.
constexpr int kMaxMessagesPerTurn = 256;

std::string FormatAddress(const http::Endpoint& aEndpoint)
{
  return "tcp://" + aEndpoint.mAddress + ':' +
         std::to_string(aEndpoint.mPort.Count());
}

void SetCommonOptions(zmq::socket_t& aSocket)
{
  aSocket.set(zmq::sockopt::linger, 0);
  aSocket.set(zmq::sockopt::sndhwm, kMaxQueuedMessages);
  aSocket.set(zmq::sockopt::rcvhwm, kMaxQueuedMessages * 8);
  aSocket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatIntervalMs);
  aSocket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
  aSocket.set(zmq::sockopt::reconnect_ivl, kInitialReconnectMs);
  aSocket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
  aSocket.set(zmq::sockopt::maxmsgsize,
              static_cast<int64_t>(protocol::kMaxMessageBytes.Count()));
}

} // namespace

struct Transport::Impl
{
  struct Peer
  {
    zmq::socket_t mSocket;
    base::TimePoint mLastUse;
  };

  http::Loop& mLoop;
  TransportSettings mSettings;
  Handler mHandler;
  protocol::EnvelopeGuard mGuard;
  TransportCounts mCounts;
  zmq::context_t mContext{ 1 };
  zmq::socket_t mRouter;
  zmq::socket_t mAuthenticator;
  std::map<http::Endpoint, Peer> mPeers;
  std::vector<http::Loop::WatchId> mWatches;
  std::uint64_t mSequence = 0;
  bool mIsListening = false;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);

  Impl(http::Loop& aLoop, TransportSettings aSettings, Handler aHandler)
    : mLoop(aLoop)
    , mSettings(std::move(aSettings))
    , mHandler(std::move(aHandler))
  {
  }

  void StartAuthenticator();
  void Bind();
  void Receive();
  void HandleMessage(const zmq::message_t& aMessage);
  void Authenticate();
  bool IsFleetKey(const zmq::message_t& aCredentials) const;
  zmq::socket_t& FindOrConnect(const http::Endpoint& aTo);
  void RemoveLeastRecentlyUsedPeer();
  void Watch(zmq::socket_t& aSocket, void (Impl::*aHandle)());
};

void Transport::Impl::Watch(zmq::socket_t& aSocket, void (Impl::*aHandle)())
{
  const int fd = aSocket.get(zmq::sockopt::fd);
  mWatches.push_back(mLoop.Watch(fd, [this, aHandle] { (this->*aHandle)(); }));
}

void Transport::Impl::StartAuthenticator()
{
  mAuthenticator = zmq::socket_t(mContext, zmq::socket_type::rep);
  mAuthenticator.bind("inproc://zeromq.zap.01");
  Watch(mAuthenticator, &Impl::Authenticate);
}

void Transport::Impl::Bind()
{
  mRouter = zmq::socket_t(mContext, zmq::socket_type::router);
  SetCommonOptions(mRouter);
  if (mSettings.mKey) {
    StartAuthenticator();
    mRouter.set(zmq::sockopt::zap_domain, "auburnmux");
    mRouter.set(zmq::sockopt::curve_server, true);
    mRouter.set(zmq::sockopt::curve_secretkey, mSettings.mKey->mSecret);
  }
  try {
    mRouter.bind(FormatAddress(mSettings.mListen));
    mIsListening = true;
  } catch (const zmq::error_t& ec) {
    base::LogWarning(base::LogLine("peer_bind_failed")
                       .With("address", FormatAddress(mSettings.mListen))
                       .With("reason", ec.what()));
    return;
  }
  Watch(mRouter, &Impl::Receive);
}

void Transport::Impl::Receive()
{
  // The socket's descriptor is edge-triggered: it signals only changes. All
  // pending messages have to be read, here or in another turn scheduled below.
  for (int i = 0; i < kMaxMessagesPerTurn; ++i) {
    if ((mRouter.get(zmq::sockopt::events) & ZMQ_POLLIN) == 0) {
      return;
    }
    zmq::message_t part;
    if (!mRouter.recv(part, zmq::recv_flags::dontwait)) {
      return;
    }
    while (part.more()) {
      if (!mRouter.recv(part, zmq::recv_flags::dontwait)) {
        return;
      }
    }
    HandleMessage(part);
  }
  mLoop.After(base::Duration::zero(), [this, isAlive = mIsAlive] {
    if (*isAlive) {
      Receive();
    }
  });
}

void Transport::Impl::HandleMessage(const zmq::message_t& aMessage)
{
  protocol::Envelope envelope;
  const protocol::Rejection rejection =
    mGuard.Accept(aMessage.to_string_view(), envelope);
  if (rejection != protocol::Rejection::None) {
    ++mCounts.mRejected[rejection];
    return;
  }
  ++mCounts.mReceived;
  mCounts.mReceivedBytes += aMessage.size();
  mHandler(envelope);
}

bool Transport::Impl::IsFleetKey(const zmq::message_t& aCredentials) const
{
  constexpr std::size_t kKeyBytes = 32;
  if (aCredentials.size() != kKeyBytes) {
    return false;
  }
  std::array<char, 41> text{};
  zmq_z85_encode(text.data(), aCredentials.data<std::uint8_t>(), kKeyBytes);
  return mSettings.mKey->mPublic == text.data();
}

void Transport::Impl::Authenticate()
{
  // Frames of a ZAP request (ZeroMQ RFC 27): version, request id, domain,
  // address, identity, mechanism, credentials.
  constexpr std::size_t kFrameCount = 7;
  while ((mAuthenticator.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
    std::vector<zmq::message_t> frames;
    do {
      frames.emplace_back();
      if (!mAuthenticator.recv(frames.back(), zmq::recv_flags::dontwait)) {
        return;
      }
    } while (frames.back().more());
    const bool isAllowed = frames.size() == kFrameCount &&
                           frames[5].to_string_view() == "CURVE" &&
                           IsFleetKey(frames[6]);
    mCounts.mUnauthorized += isAllowed ? 0 : 1;
    const auto more = zmq::send_flags::sndmore;
    const std::string id = frames.size() > 1 ? frames[1].to_string() : "";
    mAuthenticator.send(zmq::str_buffer("1.0"), more);
    mAuthenticator.send(zmq::buffer(id), more);
    mAuthenticator.send(
      isAllowed ? zmq::str_buffer("200") : zmq::str_buffer("400"), more);
    mAuthenticator.send(zmq::str_buffer(""), more);
    mAuthenticator.send(zmq::str_buffer(""), more);
    mAuthenticator.send(zmq::str_buffer(""), zmq::send_flags::none);
  }
}

void Transport::Impl::RemoveLeastRecentlyUsedPeer()
{
  auto leastRecent = mPeers.begin();
  for (auto it = mPeers.begin(); it != mPeers.end(); ++it) {
    if (it->second.mLastUse < leastRecent->second.mLastUse) {
      leastRecent = it;
    }
  }
  mPeers.erase(leastRecent);
}

zmq::socket_t& Transport::Impl::FindOrConnect(const http::Endpoint& aTo)
{
  const auto it = mPeers.find(aTo);
  if (it != mPeers.end()) {
    it->second.mLastUse = mLoop.Now();
    return it->second.mSocket;
  }
  if (mPeers.size() >= kMaxPeers) {
    RemoveLeastRecentlyUsedPeer();
  }
  zmq::socket_t socket(mContext, zmq::socket_type::dealer);
  SetCommonOptions(socket);
  if (mSettings.mKey) {
    socket.set(zmq::sockopt::curve_serverkey, mSettings.mKey->mPublic);
    socket.set(zmq::sockopt::curve_publickey, mSettings.mKey->mPublic);
    socket.set(zmq::sockopt::curve_secretkey, mSettings.mKey->mSecret);
  }
  socket.connect(FormatAddress(aTo));
  Peer& peer = mPeers[aTo];
  peer = { std::move(socket), mLoop.Now() };
  return peer.mSocket;
}

Transport::Transport(http::Loop& aLoop, TransportSettings aSettings,
                     Handler aHandler)
  : mImpl(
      std::make_unique<Impl>(aLoop, std::move(aSettings), std::move(aHandler)))
{
  mImpl->Bind();
}

Transport::~Transport()
{
  *mImpl->mIsAlive = false;
  for (const http::Loop::WatchId it : mImpl->mWatches) {
    mImpl->mLoop.Unwatch(it);
  }
}

bool Transport::IsListening() const
{
  return mImpl->mIsListening;
}

void Transport::Send(const http::Endpoint& aTo, protocol::Envelope aEnvelope)
{
  aEnvelope.set_protocol_version(protocol::kProtocolVersion);
  aEnvelope.set_sender(mImpl->mSettings.mSelf.Text());
  aEnvelope.set_sender_incarnation(mImpl->mSettings.mIncarnation.Count());
  aEnvelope.set_sequence(++mImpl->mSequence);
  const std::string bytes = aEnvelope.SerializeAsString();
  try {
    const auto sent = mImpl->FindOrConnect(aTo).send(zmq::buffer(bytes),
                                                     zmq::send_flags::dontwait);
    if (!sent) {
      ++mImpl->mCounts.mQueueFull;
      return;
    }
  } catch (const zmq::error_t& ec) {
    base::LogWarning(base::LogLine("peer_send_failed")
                       .With("address", FormatAddress(aTo))
                       .With("reason", ec.what()));
    return;
  }
  ++mImpl->mCounts.mSent;
  mImpl->mCounts.mSentBytes += bytes.size();
}

const TransportCounts& Transport::Counts() const
{
  return mImpl->mCounts;
}

} // namespace auburnmux::peer
