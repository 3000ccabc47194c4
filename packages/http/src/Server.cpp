#include "http/src/Server.h"

#include "http/src/HttpServerConnection.h"
#include "http/src/Listener.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburnmux::http {

using internal::HttpServerConnection;
using internal::ServerExchangeImpl;

namespace {

// How often connections are checked for timeouts.
constexpr base::Duration kCheckPeriod = std::chrono::milliseconds(250);

// Maximum unsent bytes that the kernel takes for one client. Without it, the
// kernel takes up to several megabytes for a client that doesn't read. At 200
// Mbit/s, the widest link of a host, it lasts for 5 ms, in which more is
// written.
constexpr int kMaxUnsentBytes = 131072;

std::string PeerAddress(int aDescriptor)
{
  sockaddr_in address{};
  socklen_t length = sizeof address;
  std::array<char, INET_ADDRSTRLEN> buf{};
  if (getpeername(aDescriptor, reinterpret_cast<sockaddr*>(&address),
                  &length) != 0 ||
      inet_ntop(AF_INET, &address.sin_addr, buf.data(), buf.size()) ==
        nullptr) {
    return {};
  }
  return buf.data();
}

} // namespace

struct Server::Impl final : HttpServerConnection::Owner
{
  Impl(Loop& aLoop, Handler aHandler, ConnectionObserver* aObserver,
       ServerOptions aOptions)
    : mLoop(aLoop)
    , mHandler(std::move(aHandler))
    , mObserver(aObserver)
    , mOptions(std::move(aOptions))
  {
  }

  Loop& EventLoop() override { return mLoop; }
  const ServerLimits& Limits() const override { return mLimits; }
  std::shared_ptr<buffering::HeldBytes> Account() const override
  {
    return mAccount;
  }
  bool ClosesAfterResponses() const override { return mClosesAfterResponses; }
  bool ReadsAhead() const override { return mOptions.mMayRunEarly != nullptr; }
  bool MayRunEarly(const RequestHead& aHead) const override
  {
    return ReadsAhead() && mOptions.mMayRunEarly(aHead);
  }
  void OnRequest(const std::shared_ptr<ServerExchangeImpl>& aExchange) override
  {
    mHandler(aExchange);
  }
  void OnConnectionClosed(HttpServerConnection& aConnection) override;

  void Adopt(int aDescriptor);
  /** \returns a copy of the connections, which may close while it is
   * iterated. */
  std::vector<std::shared_ptr<HttpServerConnection>> Connections() const;

  Loop& mLoop;
  Handler mHandler;
  ConnectionObserver* mObserver;
  ServerOptions mOptions;
  ServerLimits mLimits;
  std::shared_ptr<buffering::HeldBytes> mAccount;
  std::unique_ptr<Listener> mListener;
  Loop::TimerId mCheckTimer;
  bool mClosesAfterResponses = false;
  std::unordered_map<HttpServerConnection*,
                     std::shared_ptr<HttpServerConnection>>
    mConnections;
};

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
  if (mAccount) {
    setsockopt(aDescriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &kMaxUnsentBytes,
               sizeof kMaxUnsentBytes);
  }
  auto connection = std::make_shared<HttpServerConnection>(
    *this, aDescriptor, PeerAddress(aDescriptor));
  mConnections.emplace(connection.get(), connection);
}

void Server::Impl::OnConnectionClosed(HttpServerConnection& aConnection)
{
  const int descriptor = aConnection.Descriptor();
  if (mConnections.erase(&aConnection) > 0 && mObserver != nullptr) {
    mObserver->OnClose(descriptor);
  }
}

std::vector<std::shared_ptr<HttpServerConnection>> Server::Impl::Connections()
  const
{
  std::vector<std::shared_ptr<HttpServerConnection>> connections;
  connections.reserve(mConnections.size());
  for (const auto& [key, connection] : mConnections) {
    connections.push_back(connection);
  }
  return connections;
}

Server::Server(Loop& aLoop, const Endpoint& aListen, Handler aHandler,
               ConnectionObserver* aConnectionObserver, ServerOptions aOptions)
  : mImpl(std::make_unique<Impl>(aLoop, std::move(aHandler),
                                 aConnectionObserver, std::move(aOptions)))
{
  Impl* impl = mImpl.get();
  impl->mListener = std::make_unique<Listener>(
    aLoop, aListen, [impl](int aDescriptor) { impl->Adopt(aDescriptor); });
  impl->mCheckTimer = aLoop.Every(kCheckPeriod, [impl] {
    const base::TimePoint now = impl->mLoop.Now();
    for (const auto& it : impl->Connections()) {
      it->CheckTimeouts(now);
    }
  });
}

Server::~Server()
{
  mImpl->mLoop.Cancel(mImpl->mCheckTimer);
  mImpl->mListener->Close();
  for (const auto& it : mImpl->Connections()) {
    it->CloseDelivering();
  }
}

bool Server::IsListening() const
{
  return mImpl->mListener->IsListening();
}

std::size_t Server::ActiveExchanges() const
{
  std::size_t n = 0;
  for (const auto& [key, connection] : mImpl->mConnections) {
    n += connection->ExchangeCount();
  }
  return n;
}

void Server::CloseAfterResponses()
{
  mImpl->mClosesAfterResponses = true;
  for (const auto& [key, connection] : mImpl->mConnections) {
    connection->CloseAfterResponses();
  }
}

void Server::RequestResponses(ResponseScope aScope)
{
  for (const auto& it : mImpl->Connections()) {
    it->RequestResponses(aScope);
  }
}

base::ByteCount Server::UnacknowledgedBytes() const
{
  std::size_t n = 0;
  for (const auto& [key, connection] : mImpl->mConnections) {
    n += connection->UnacknowledgedBytes();
  }
  return base::ByteCount(n);
}

void Server::CloseIdle()
{
  for (const auto& it : mImpl->Connections()) {
    it->CloseIfIdle();
  }
}

void Server::StopListening()
{
  mImpl->mListener->Close();
}

void Server::SetLimits(const ServerLimits& aLimits)
{
  mImpl->mLimits = aLimits;
}

void Server::CountHeldBytes(std::shared_ptr<buffering::HeldBytes> aAccount)
{
  mImpl->mAccount = std::move(aAccount);
}

std::vector<SlowReader> Server::SampleReaders()
{
  std::vector<SlowReader> readers;
  const base::TimePoint now = mImpl->mLoop.Now();
  for (const auto& [key, connection] : mImpl->mConnections) {
    if (const auto held = connection->SampleProgress(now)) {
      readers.push_back(
        { connection->Descriptor(), connection->ClientAddress(), *held });
    }
  }
  return readers;
}

void Server::CloseReader(const SlowReader& aReader)
{
  for (const auto& it : mImpl->Connections()) {
    if (it->Descriptor() == aReader.mDescriptor) {
      it->CloseDiscardingUnread();
      return;
    }
  }
}

} // namespace auburnmux::http
