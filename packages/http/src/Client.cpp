#include "http/src/Client.h"

#include "http/src/HttpClientConnection.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburnmux::http {

using internal::ClientExchangeImpl;
using internal::HttpClientConnection;

namespace {

// How often idle connections are checked for expiry.
constexpr base::Duration kIdleCheckPeriod = std::chrono::milliseconds(500);

// Checks of a connection's peer within the unacknowledged timeout. The kernel
// ends a connection whose window is closed for that long, unless a check has
// lifted its limit before.
constexpr int kPeerChecks = 4;

} // namespace

const char* FailureName(FailureKind aKind)
{
  switch (aKind) {
    case FailureKind::ConnectRefused:
      return "connect_refused";
    case FailureKind::ConnectTimeout:
      return "connect_timeout";
    case FailureKind::ConnectFailed:
      return "connect_failed";
    case FailureKind::Reset:
      return "reset";
    case FailureKind::Truncated:
      return "truncated";
    case FailureKind::Malformed:
      return "malformed";
  }
  return "unknown";
}

struct Client::Impl final : HttpClientConnection::Owner
{
  using Connections = std::vector<std::shared_ptr<HttpClientConnection>>;

  Impl(Loop& aLoop, ClientOptions aOptions)
    : mLoop(aLoop)
    , mOptions(std::move(aOptions))
  {
  }

  void OnIdle(const std::shared_ptr<HttpClientConnection>& aConnection) override
  {
    // The most recently used connection is at the end.
    mIdle[aConnection->RemoteEndpoint()].push_back(aConnection);
  }
  void OnIdleClosed(const Endpoint& aEndpoint) override
  {
    if (mIdleObserver) {
      mIdleObserver(aEndpoint);
    }
  }
  void OnConnectionClosed(const HttpClientConnection& aConnection) override;

  std::shared_ptr<HttpClientConnection> TakeIdle(const ClientRequest& aRequest);
  /** \returns a connection that is being opened, or null. */
  std::shared_ptr<HttpClientConnection> Open(const Endpoint& aEndpoint,
                                             base::Duration aTimeout);
  void CloseExpired();
  void CheckPeers();

  Loop& mLoop;
  ClientOptions mOptions;
  Loop::TimerId mIdleCheckTimer;
  Loop::TimerId mPeerCheckTimer;
  std::uint64_t mOpenedConnections = 0;
  std::unordered_map<const HttpClientConnection*,
                     std::shared_ptr<HttpClientConnection>>
    mConnections;
  std::map<Endpoint, Connections> mIdle;
  std::function<void(const Endpoint&)> mIdleObserver;
};

void Client::Impl::OnConnectionClosed(const HttpClientConnection& aConnection)
{
  const auto idle = mIdle.find(aConnection.RemoteEndpoint());
  if (idle != mIdle.end()) {
    Connections& connections = idle->second;
    connections.erase(std::remove_if(connections.begin(), connections.end(),
                                     [&](const auto& aOther) {
                                       return aOther.get() == &aConnection;
                                     }),
                      connections.end());
    if (connections.empty()) {
      mIdle.erase(idle);
    }
  }
  mConnections.erase(&aConnection);
}

std::shared_ptr<HttpClientConnection> Client::Impl::TakeIdle(
  const ClientRequest& aRequest)
{
  const auto idle = mIdle.find(aRequest.mEndpoint);
  if (aRequest.mNeedsFreshConnection || idle == mIdle.end()) {
    return nullptr;
  }
  std::shared_ptr<HttpClientConnection> connection = idle->second.back();
  if (!connection->IsUsable(mLoop.Now(), aRequest.mMaxIdle)) {
    return nullptr; // the others were idle for longer
  }
  idle->second.pop_back();
  if (idle->second.empty()) {
    mIdle.erase(idle);
  }
  return connection;
}

std::shared_ptr<HttpClientConnection> Client::Impl::Open(
  const Endpoint& aEndpoint, base::Duration aTimeout)
{
  auto connection =
    std::make_shared<HttpClientConnection>(mLoop, *this, aEndpoint, mOptions);
  if (!connection->Connect(aTimeout)) {
    return nullptr;
  }
  ++mOpenedConnections;
  mConnections.emplace(connection.get(), connection);
  return connection;
}

void Client::Impl::CloseExpired()
{
  const base::TimePoint now = mLoop.Now();
  Connections expired;
  for (const auto& [endpoint, connections] : mIdle) {
    std::copy_if(connections.begin(), connections.end(),
                 std::back_inserter(expired),
                 [&](const std::shared_ptr<HttpClientConnection>& aConnection) {
                   return !aConnection->IsUsable(now, mOptions.mMaxIdle);
                 });
  }
  for (const auto& it : expired) {
    it->Close();
  }
}

void Client::Impl::CheckPeers()
{
  Connections connections;
  for (const auto& [key, connection] : mConnections) {
    connections.push_back(connection);
  }
  for (const auto& it : connections) {
    it->CheckPeer();
  }
}

Client::Client(Loop& aLoop, std::string aSource)
  : Client(aLoop, ClientOptions{ std::move(aSource) })
{
}

Client::Client(Loop& aLoop, ClientOptions aOptions)
  : mImpl(std::make_unique<Impl>(aLoop, std::move(aOptions)))
{
  mImpl->mIdleCheckTimer = aLoop.Every(
    kIdleCheckPeriod, [impl = mImpl.get()] { impl->CloseExpired(); });
  mImpl->mPeerCheckTimer =
    aLoop.Every(mImpl->mOptions.mUnacknowledgedTimeout / kPeerChecks,
                [impl = mImpl.get()] { impl->CheckPeers(); });
}

Client::~Client()
{
  mImpl->mLoop.Cancel(mImpl->mIdleCheckTimer);
  mImpl->mLoop.Cancel(mImpl->mPeerCheckTimer);
  const auto connections = mImpl->mConnections;
  for (const auto& [key, connection] : connections) {
    if (const auto exchange = connection->Close()) {
      exchange->Detach();
    }
  }
}

std::shared_ptr<ClientExchange> Client::Send(
  const ClientRequest& aRequest, std::shared_ptr<ResponseObserver> aObserver)
{
  auto exchange = std::make_shared<ClientExchangeImpl>(mImpl->mLoop, aRequest,
                                                       std::move(aObserver));
  std::shared_ptr<HttpClientConnection> connection = mImpl->TakeIdle(aRequest);
  if (!connection) {
    connection = mImpl->Open(aRequest.mEndpoint, aRequest.mConnectTimeout);
  }
  if (connection) {
    connection->Start(exchange);
  } else {
    mImpl->mLoop.Post(
      [exchange] { exchange->HandleFailure(FailureKind::ConnectFailed); });
  }
  return exchange;
}

bool Client::OpenIdle(const Endpoint& aEndpoint, base::Duration aTimeout,
                      std::function<void(ConnectOutcome)> aDone)
{
  const auto connection = mImpl->Open(aEndpoint, aTimeout);
  if (connection) {
    connection->NotifyConnected(std::move(aDone));
  }
  return connection != nullptr;
}

bool Client::HasIdle(const Endpoint& aEndpoint) const
{
  const auto idle = mImpl->mIdle.find(aEndpoint);
  return idle != mImpl->mIdle.end() &&
         idle->second.back()->IsUsable(mImpl->mLoop.Now(),
                                       mImpl->mOptions.mMaxIdle);
}

void Client::CloseIdle(const Endpoint& aEndpoint)
{
  const auto idle = mImpl->mIdle.find(aEndpoint);
  if (idle != mImpl->mIdle.end()) {
    const Impl::Connections connections = idle->second;
    for (const auto& it : connections) {
      it->Close();
    }
  }
}

void Client::ObserveIdle(std::function<void(const Endpoint&)> aObserver)
{
  mImpl->mIdleObserver = std::move(aObserver);
}

std::uint64_t Client::OpenedConnections() const
{
  return mImpl->mOpenedConnections;
}

} // namespace auburnmux::http
