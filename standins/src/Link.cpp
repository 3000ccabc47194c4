#include "standins/src/Link.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace auburnmux::standins {

namespace {

/** \returns a socket that connects to \a aTo; bytes sent early are refused. */
int StartConnect(const http::Endpoint& aTo)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aTo.mPort.Count());
  inet_pton(AF_INET, aTo.mAddress.c_str(), &address.sin_addr);
  // Load goes to loopback only, where connect() doesn't wait.
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

} // namespace

Link::Connection::~Connection()
{
  mForward.reset();
  mBackward.reset();
  // The loop closes its duplicates a moment later; this closes at once.
  for (const int it : { mCaller, mTarget }) {
    shutdown(it, SHUT_RDWR);
    close(it);
  }
}

Link::Link(http::Loop& aLoop, const http::Endpoint& aListen, http::Endpoint aTo)
  : mLoop(aLoop)
  , mTo(std::move(aTo))
  , mListener(aLoop, aListen, [this](int aDescriptor) { Accept(aDescriptor); })
{
}

Link::~Link() = default;

void Link::Accept(int aDescriptor)
{
  const int target = mIsCut ? -1 : StartConnect(mTo);
  if (target < 0) {
    close(aDescriptor);
    return;
  }
  ++mAccepted;
  auto connection = std::make_unique<Connection>();
  Connection* it = connection.get();
  it->mCaller = aDescriptor;
  it->mTarget = target;
  const auto onEnd = [this, it] { HandleEnd(it); };
  it->mForward =
    std::make_unique<LinkPipe>(mLoop, mForward, aDescriptor, target, onEnd);
  it->mBackward =
    std::make_unique<LinkPipe>(mLoop, mBackward, target, aDescriptor, onEnd);
  mConnections.push_back(std::move(connection));
}

void Link::HandleEnd(Connection* aConnection)
{
  if (++aConnection->mEnded == 2) {
    // A pipe of the connection is still on the stack.
    mLoop.After(base::Duration::zero(), [this, aConnection] {
      mConnections.remove_if(
        [&](const auto& aIt) { return aIt.get() == aConnection; });
    });
  }
}

void Link::Configure(const Json& aChange)
{
  mIsCut = aChange.value("cut", mIsCut);
  mIsFrozen = aChange.value("frozen", mIsFrozen);
  mOneWay = aChange.value("one_way", mOneWay);
  if (aChange.contains("delay_ms")) {
    mForward.mDelay = mBackward.mDelay =
      Milliseconds(aChange.value("delay_ms", 0.0));
  }
  mForward.mIsHeld = mIsFrozen || mOneWay == "backward";
  mBackward.mIsHeld = mIsFrozen || mOneWay == "forward";
  if (mIsCut) {
    mConnections.clear();
  }
  for (const auto& it : mConnections) {
    it->mForward->Update();
    it->mBackward->Update();
  }
}

void Link::SilenceConnections()
{
  for (const auto& it : mConnections) {
    it->mForward->Silence();
    it->mBackward->Silence();
  }
}

Json Link::Stats() const
{
  return { { "to", mTo.mAddress + ':' + std::to_string(mTo.mPort.Count()) },
           { "cut", mIsCut },
           { "frozen", mIsFrozen },
           { "one_way", mOneWay },
           { "connections", mConnections.size() },
           { "accepted", mAccepted } };
}

} // namespace auburnmux::standins
