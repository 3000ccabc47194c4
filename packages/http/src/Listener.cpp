#include "http/src/Listener.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace auburnmux::http {

namespace {

constexpr int kListenBacklog = 1024;

// Maximum connections accepted in one iteration of the event loop, so that a
// burst of new connections doesn't delay the open ones.
constexpr int kMaxAcceptsPerIteration = 64;

int OpenSocket(const Endpoint& aListen)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aListen.mPort.Count());
  if (inet_pton(AF_INET, aListen.mAddress.c_str(), &address.sin_addr) != 1) {
    return -1;
  }
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd >= 0 &&
      (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
       listen(fd, kListenBacklog) != 0)) {
    close(fd);
    return -1;
  }
  return fd;
}

} // namespace

Listener::Listener(Loop& aLoop, const Endpoint& aListen, OnAccept aOnAccept)
  : mLoop(aLoop)
  , mOnAccept(std::move(aOnAccept))
  , mSocket(OpenSocket(aListen))
{
  if (mSocket >= 0) {
    mWatch = mLoop.Watch(mSocket, [this] { Accept(); });
  }
}

Listener::~Listener()
{
  Close();
}

void Listener::Close()
{
  if (mSocket >= 0) {
    mLoop.Unwatch(mWatch);
    // The loop closes its duplicate of the descriptor only later; shutdown()
    // refuses new connections at once.
    shutdown(mSocket, SHUT_RDWR);
    close(mSocket);
    mSocket = -1;
  }
}

void Listener::Accept()
{
  for (int i = 0; i < kMaxAcceptsPerIteration && mSocket >= 0; ++i) {
    const int fd =
      accept4(mSocket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    mOnAccept(fd);
  }
}

} // namespace auburnmux::http
