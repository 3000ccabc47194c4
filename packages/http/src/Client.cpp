#include "http/src/Client.h"

#include "http/src/ClientConnection.h"
#include "http/src/Internal.h"

#include <cassert>
#include <libwebsockets.h>
#include <map>
#include <utility>
#include <vector>

namespace auburnmux::http {

using internal::ClientConnection;

namespace {

// Idle connections are closed before the other side is likely to.
constexpr unsigned short kKeepIdleSeconds = 4;

// The exchanges have time limits of their own; this one only has to be longer.
constexpr unsigned kLwsTimeoutSeconds = 86400;

int OnClientEvent(lws* aWsi, lws_callback_reasons aReason, void* /*aUser*/,
                  void* aIn, std::size_t aLength)
{
  auto* connection =
    static_cast<ClientConnection*>(lws_get_opaque_user_data(aWsi));
  if (connection == nullptr) {
    return 0;
  }
  connection->ForgetIfOrphaned();
  switch (aReason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
      return connection->HandleHandshake(
        aWsi, static_cast<unsigned char**>(aIn), aLength);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      return connection->HandleHead(aWsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
      return connection->HandleReadable(aWsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      connection->HandleBody({ static_cast<const char*>(aIn), aLength });
      return 0;
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      return connection->HandleWritable(aWsi);
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      lws_set_opaque_user_data(aWsi, nullptr);
      return connection->HandleCompleted(aWsi);
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
      lws_set_opaque_user_data(aWsi, nullptr);
      connection->HandleBroken();
      return 0;
    default:
      return 0;
  }
}

const lws_protocols kClientProtocols[] = {
  { "client", OnClientEvent, 0, internal::kTurnBytes, 0, nullptr, 0 },
  { nullptr, nullptr, 0, 0, 0, nullptr, 0 }
};

} // namespace

/**
 * libwebsockets queues a pipelined request behind a busy connection of the
 * same vhost. Each lane is a vhost with at most one connection to an endpoint,
 * and a lane is used only when that connection is idle or absent.
 */
struct Client::Impl
{
  struct Pool
  {
    std::vector<std::size_t> mIdle; // the last one was used most recently
    std::vector<std::size_t> mUnused;
    std::size_t mLanes = 0;
  };

  Impl(Loop& aLoop, std::string aSource)
    : mLoop(aLoop)
    , mSource(std::move(aSource))
  {
    mFreshVhost = CreateVhost("client-fresh");
  }

  lws_vhost* CreateVhost(const char* aName) const;
  std::size_t TakeLane(const Endpoint& aEndpoint);
  void ReturnLane(const Endpoint& aEndpoint, std::size_t aLane,
                  ClientConnection::Release aRelease);
  lws* Connect(const ClientRequest& aRequest, lws_vhost* aVhost,
               ClientConnection* aConnection) const;

  Loop& mLoop;
  std::string mSource;
  /** Tells connections, which may outlive the client, that it lives. */
  std::shared_ptr<const void> mLifetime = std::make_shared<char>();
  lws_vhost* mFreshVhost = nullptr;
  std::vector<lws_vhost*> mLaneVhosts;
  std::map<Endpoint, Pool> mPools;
};

lws_vhost* Client::Impl::CreateVhost(const char* aName) const
{
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.vhost_name = aName;
  info.protocols = kClientProtocols;
  info.timeout_secs = kLwsTimeoutSeconds;
  info.connect_timeout_secs = kLwsTimeoutSeconds;
  lws_vhost* vhost = lws_create_vhost(mLoop.Context(), &info);
  assert(vhost != nullptr);
  return vhost;
}

std::size_t Client::Impl::TakeLane(const Endpoint& aEndpoint)
{
  Pool& pool = mPools[aEndpoint];
  std::vector<std::size_t>& from =
    pool.mIdle.empty() ? pool.mUnused : pool.mIdle;
  if (!from.empty()) {
    const std::size_t lane = from.back();
    from.pop_back();
    return lane;
  }
  const std::size_t lane = pool.mLanes++;
  if (lane == mLaneVhosts.size()) {
    mLaneVhosts.push_back(CreateVhost("client-lane"));
  }
  return lane;
}

void Client::Impl::ReturnLane(const Endpoint& aEndpoint, std::size_t aLane,
                              ClientConnection::Release aRelease)
{
  Pool& pool = mPools[aEndpoint];
  const bool isIdle = aRelease == ClientConnection::Release::Idle;
  (isIdle ? pool.mIdle : pool.mUnused).push_back(aLane);
}

lws* Client::Impl::Connect(const ClientRequest& aRequest, lws_vhost* aVhost,
                           ClientConnection* aConnection) const
{
  lws_client_connect_info info{};
  info.context = mLoop.Context();
  info.address = aRequest.mEndpoint.mAddress.c_str();
  info.port = aRequest.mEndpoint.mPort.Count();
  info.path = aRequest.mTarget.c_str();
  // libwebsockets reuses a kept connection only when host and address are the
  // same text, so the Host field goes without the port.
  info.host = info.address;
  info.iface = mSource.empty() ? nullptr : mSource.c_str();
  info.method = aRequest.mMethod.c_str();
  info.protocol = "client";
  info.local_protocol_name = "client";
  info.vhost = aVhost;
  info.opaque_user_data = aConnection;
  info.keep_warm_secs = kKeepIdleSeconds;
  info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
  if (!aRequest.mNeedsFreshConnection) {
    info.ssl_connection |= LCCSCF_PIPELINE;
  }
  return lws_client_connect_via_info(&info);
}

Client::Client(Loop& aLoop, std::string aSource)
  : mImpl(std::make_unique<Impl>(aLoop, std::move(aSource)))
{
}

Client::~Client() = default;

std::shared_ptr<ClientExchange> Client::Send(
  const ClientRequest& aRequest, std::shared_ptr<ResponseObserver> aObserver)
{
  Impl& impl = *mImpl;
  lws_vhost* vhost = impl.mFreshVhost;
  ClientConnection::OnRelease onRelease;
  if (!aRequest.mNeedsFreshConnection) {
    const std::size_t lane = impl.TakeLane(aRequest.mEndpoint);
    vhost = impl.mLaneVhosts[lane];
    onRelease = [&impl, lane, endpoint = aRequest.mEndpoint](
                  ClientConnection::Release aRelease) {
      impl.ReturnLane(endpoint, lane, aRelease);
    };
  }
  auto connection = std::make_shared<ClientConnection>(
    impl.mLoop, aRequest, std::move(aObserver), std::move(onRelease),
    impl.mLifetime);
  connection->KeepAlive(connection);
  // libwebsockets writes the request head into the buffer from which it may
  // still be delivering the body of a server's request, so the connection
  // waits until no read is under way.
  impl.mLoop.After(
    base::Duration::zero(), [&impl, vhost, connection, aRequest] {
      connection->ForgetIfOrphaned();
      if (connection->IsWanted()) {
        connection->Attach(impl.Connect(aRequest, vhost, connection.get()));
      }
    });
  return connection;
}

} // namespace auburnmux::http
