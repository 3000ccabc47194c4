#include "http/src/Server.h"

#include "http/src/HangupMonitor.h"
#include "http/src/Internal.h"
#include "http/src/Listener.h"
#include "http/src/ServerConnection.h"

#include <array>
#include <cassert>
#include <libwebsockets.h>
#include <unistd.h>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace auburnmux::http {

using internal::ServerConnection;

struct Server::Impl
{
  Handler mHandler;
  ConnectionObserver* mObserver = nullptr;
  lws_vhost* mVhost = nullptr;
  std::unique_ptr<Listener> mListener;
  std::unique_ptr<internal::HangupMonitor> mHangups;
  bool mClosesAfterResponses = false;
  std::unordered_map<lws*, std::shared_ptr<ServerConnection>> mConnections;
  // Descriptors of all open connections.
  std::unordered_map<lws*, int> mDescriptors;
  std::unordered_map<int, lws*> mByDescriptor;
  // Connections whose caller closed them before its request was read.
  std::unordered_set<lws*> mHungUp;

  void Adopt(int aDescriptor);
  void HandleHangup(int aDescriptor);
  void HandleDestroyed(lws* aWsi);
  int HandleRequest(lws* aWsi, std::string_view aPath);
  int HandleEvent(lws* aWsi, lws_callback_reasons aReason,
                  std::string_view aData);
  int Forget(lws* aWsi);
  std::shared_ptr<ServerConnection> Find(lws* aWsi);
};

namespace {

// A caller that has not sent its whole head by then is disconnected.
constexpr int kHeadTimeoutSeconds = 10;
constexpr int kKeepAliveSeconds = 60;

int OnServerEvent(lws* aWsi, lws_callback_reasons aReason, void* /*aUser*/,
                  void* aIn, std::size_t aLength)
{
  auto* server = static_cast<Server::Impl*>(lws_get_opaque_user_data(aWsi));
  if (server == nullptr) {
    return 0;
  }
  if (aReason == LWS_CALLBACK_WSI_DESTROY) {
    server->HandleDestroyed(aWsi);
    return 0;
  }
  if (aReason != LWS_CALLBACK_HTTP && aReason != LWS_CALLBACK_HTTP_BODY &&
      aReason != LWS_CALLBACK_HTTP_BODY_COMPLETION &&
      aReason != LWS_CALLBACK_HTTP_WRITEABLE &&
      aReason != LWS_CALLBACK_CLOSED_HTTP) {
    return 0;
  }
  const std::string_view data(static_cast<const char*>(aIn),
                              aIn == nullptr ? 0 : aLength);
  return server->HandleEvent(aWsi, aReason, data);
}

const lws_protocols kServerProtocols[] = {
  { "http", OnServerEvent, 0, internal::kTurnBytes, 0, nullptr, 0 },
  { nullptr, nullptr, 0, 0, 0, nullptr, 0 }
};

/**
 * \returns the vhost that all servers of the loop share. libwebsockets chooses
 * among several by the Host field, whichever server accepted.
 */
lws_vhost* FindVhost(const Loop& aLoop)
{
  constexpr const char* kName = "server";
  lws_vhost* vhost = lws_get_vhost_by_name(aLoop.Context(), kName);
  if (vhost == nullptr) {
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN_SERVER;
    info.vhost_name = kName;
    info.protocols = kServerProtocols;
    info.timeout_secs = kHeadTimeoutSeconds;
    info.keepalive_timeout = kKeepAliveSeconds;
    vhost = lws_create_vhost(aLoop.Context(), &info);
    assert(vhost != nullptr);
  }
  return vhost;
}

std::string ReadMethod(lws* aWsi)
{
  constexpr std::array<std::pair<lws_token_indexes, const char*>, 7>
    kMethods = { { { WSI_TOKEN_GET_URI, "GET" },
                   { WSI_TOKEN_POST_URI, "POST" },
                   { WSI_TOKEN_PUT_URI, "PUT" },
                   { WSI_TOKEN_DELETE_URI, "DELETE" },
                   { WSI_TOKEN_PATCH_URI, "PATCH" },
                   { WSI_TOKEN_OPTIONS_URI, "OPTIONS" },
                   { WSI_TOKEN_HEAD_URI, "HEAD" } } };
  for (const auto& [token, name] : kMethods) {
    if (lws_hdr_total_length(aWsi, token) > 0) {
      return name;
    }
  }
  return {};
}

std::string ReadQuery(lws* aWsi)
{
  std::string query;
  std::array<char, 4096> buf{};
  for (int i = 0; lws_hdr_copy_fragment(aWsi, buf.data(), buf.size(),
                                        WSI_TOKEN_HTTP_URI_ARGS, i) > 0;
       ++i) {
    query += (i > 0 ? "&" : "") + internal::EncodeParameter(buf.data());
  }
  return query;
}

RequestHead ReadHead(lws* aWsi, std::string_view aPath)
{
  RequestHead head;
  head.mMethod = ReadMethod(aWsi);
  head.mPath = internal::EncodePath(std::string(aPath));
  head.mQuery = ReadQuery(aWsi);
  head.mHeaders = internal::ReadHeaders(aWsi);
  std::array<char, 64> buf{};
  lws_get_peer_simple(aWsi, buf.data(), buf.size());
  head.mClientAddress = buf.data();
  return head;
}

/** \returns the status that refuses the head, or 0 to accept it. */
int CheckHead(const RequestHead& aHead, const internal::BodyLength& aLength)
{
  if (aHead.mMethod.empty() || aLength.mIsInvalid ||
      !aHead.mHeaders.Find("host")) {
    return 400;
  }
  if (aLength.mIsChunked) {
    return 411;
  }
  const bool needsLength = aHead.mMethod == "POST" || aHead.mMethod == "PUT" ||
                           aHead.mMethod == "PATCH";
  return needsLength && !aLength.mBytes ? 411 : 0;
}

} // namespace

void ServerExchange::Respond(int aStatus, Headers aHeaders,
                             std::string_view aBody)
{
  ResponseHead head{ aStatus, std::move(aHeaders),
                     base::ByteCount(aBody.size()) };
  SendHead(head);
  SendBody(aBody);
  if (!IsClosed()) {
    Finish();
  }
}

void Server::Impl::Adopt(int aDescriptor)
{
  if (mObserver != nullptr && !mObserver->OnOpen(aDescriptor)) {
    close(aDescriptor);
    return;
  }
  lws* wsi = lws_adopt_socket_vhost(mVhost, aDescriptor);
  if (wsi != nullptr) {
    mDescriptors[wsi] = aDescriptor;
    mByDescriptor[aDescriptor] = wsi;
    mHangups->Add(aDescriptor);
    lws_set_opaque_user_data(wsi, this);
  } else if (mObserver != nullptr) {
    mObserver->OnClose(aDescriptor);
  }
}

void Server::Impl::HandleHangup(int aDescriptor)
{
  const auto it = mByDescriptor.find(aDescriptor);
  if (it == mByDescriptor.end()) {
    return;
  }
  mHungUp.insert(it->second);
  // Without an exchange libwebsockets sees the close by itself.
  if (Find(it->second)) {
    lws_set_timeout(it->second, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
  }
}

void Server::Impl::HandleDestroyed(lws* aWsi)
{
  const auto it = mDescriptors.find(aWsi);
  if (it == mDescriptors.end()) {
    return;
  }
  const int descriptor = it->second;
  mDescriptors.erase(it);
  mHungUp.erase(aWsi);
  mByDescriptor.erase(descriptor);
  if (mObserver != nullptr) {
    mObserver->OnClose(descriptor);
  }
}

int Server::Impl::HandleRequest(lws* aWsi, std::string_view aPath)
{
  RequestHead head = ReadHead(aWsi, aPath);
  const internal::BodyLength length = internal::ReadBodyLength(aWsi);
  const int refusal = CheckHead(head, length);
  if (length.mBytes) {
    head.mContentLength = base::ByteCount(*length.mBytes);
  }
  if (refusal != 0) {
    head.mContentLength.reset();
  }
  auto connection = std::make_shared<ServerConnection>(aWsi, std::move(head));
  mConnections[aWsi] = connection;
  if (mClosesAfterResponses || refusal != 0) {
    connection->CloseAfterResponse();
  }
  if (refusal != 0) {
    connection->Respond(
      refusal,
      { { "content-type", "application/json" }, { "work-outcome", "not-run" } },
      R"({"outcome":"not-run","reason":"malformed request head"})");
  } else {
    mHandler(connection);
  }
  // The socket is writable now: a response that is ready needs no other turn.
  const bool isDecided = connection->IsFinished() || connection->IsAborted();
  return isDecided ? connection->HandleWritable() : 0;
}

std::shared_ptr<ServerConnection> Server::Impl::Find(lws* aWsi)
{
  const auto it = mConnections.find(aWsi);
  return it == mConnections.end() ? nullptr : it->second;
}

int Server::Impl::HandleEvent(lws* aWsi, lws_callback_reasons aReason,
                              std::string_view aData)
{
  if (aReason == LWS_CALLBACK_HTTP) {
    if (mHungUp.count(aWsi) > 0) {
      return -1;
    }
    const int result = HandleRequest(aWsi, aData);
    const auto connection = Find(aWsi);
    if (connection && connection->IsClosed()) {
      mConnections.erase(aWsi);
    }
    return result;
  }
  const auto connection = Find(aWsi);
  if (!connection) {
    return 0;
  }
  int result = 0;
  if (aReason == LWS_CALLBACK_HTTP_BODY) {
    connection->HandleBody(aData);
  } else if (aReason == LWS_CALLBACK_HTTP_BODY_COMPLETION) {
    connection->HandleBodyEnd();
  } else if (aReason == LWS_CALLBACK_HTTP_WRITEABLE) {
    result = connection->HandleWritable();
  } else {
    connection->HandleClosed();
  }
  // A completed exchange may already have been replaced by the next request
  // of the connection.
  if (connection->IsClosed() && Find(aWsi) == connection) {
    mConnections.erase(aWsi);
  }
  return result;
}

Server::Server(Loop& aLoop, const Endpoint& aListen, Handler aHandler,
               ConnectionObserver* aConnections)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mHandler = std::move(aHandler);
  mImpl->mObserver = aConnections;
  mImpl->mVhost = FindVhost(aLoop);
  mImpl->mHangups = std::make_unique<internal::HangupMonitor>(
    aLoop,
    [impl = mImpl.get()](int aDescriptor) { impl->HandleHangup(aDescriptor); });
  mImpl->mListener = std::make_unique<Listener>(
    aLoop, aListen,
    [impl = mImpl.get()](int aDescriptor) { impl->Adopt(aDescriptor); });
}

Server::~Server()
{
  mImpl->mListener->Close();
  const auto descriptors = mImpl->mDescriptors;
  for (const auto& [wsi, descriptor] : descriptors) {
    lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
  }
}

bool Server::IsListening() const
{
  return mImpl->mListener->IsListening();
}

std::size_t Server::ActiveExchanges() const
{
  return mImpl->mConnections.size();
}

void Server::CloseAfterResponses()
{
  mImpl->mClosesAfterResponses = true;
  for (auto& [wsi, connection] : mImpl->mConnections) {
    connection->CloseAfterResponse();
  }
}

} // namespace auburnmux::http
