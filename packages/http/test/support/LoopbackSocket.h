#pragma once

#include "base/Base.h"

#include <arpa/inet.h>
#include <cerrno>
#include <linux/filter.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace auburnmux::http {

/** A blocking TCP socket on the loopback interface, for raw bytes and closes
 * that an HTTP library doesn't produce. */
class LoopbackSocket
{
public:
  /** \returns a listening socket. \param aReceiveBuffer receive buffer size of
   * its connections in bytes; 0 for the system's default \param aBacklog
   * connections that it holds before they are accepted */
  static LoopbackSocket Listen(base::PortNumber aPort, int aReceiveBuffer = 0,
                               int aBacklog = 64)
  {
    LoopbackSocket it;
    const int on = 1;
    setsockopt(it.mDescriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (aReceiveBuffer > 0) {
      setsockopt(it.mDescriptor, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer,
                 sizeof aReceiveBuffer);
    }
    const sockaddr_in address = Address(aPort);
    it.mIsOpen =
      bind(it.mDescriptor, reinterpret_cast<const sockaddr*>(&address),
           sizeof address) == 0 &&
      listen(it.mDescriptor, aBacklog) == 0;
    return it;
  }
  /** \returns a connection. \param aReceiveBuffer its receive buffer size in
   * bytes; 0 for the system's default */
  static LoopbackSocket Connect(base::PortNumber aPort, int aReceiveBuffer = 0)
  {
    LoopbackSocket it;
    if (aReceiveBuffer > 0) {
      setsockopt(it.mDescriptor, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer,
                 sizeof aReceiveBuffer);
    }
    const sockaddr_in address = Address(aPort);
    it.mIsOpen =
      connect(it.mDescriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) == 0;
    return it;
  }

  ~LoopbackSocket() { Close(); }
  LoopbackSocket(LoopbackSocket&& aOther) noexcept
    : mDescriptor(std::exchange(aOther.mDescriptor, -1))
    , mIsOpen(std::exchange(aOther.mIsOpen, false))
  {
  }
  LoopbackSocket(const LoopbackSocket&) = delete;
  LoopbackSocket& operator=(const LoopbackSocket&) = delete;
  LoopbackSocket& operator=(LoopbackSocket&&) = delete;

  bool IsOpen() const { return mIsOpen; }
  LoopbackSocket Accept() const
  {
    return LoopbackSocket(accept(mDescriptor, nullptr, nullptr));
  }
  /** Ends a call of Accept() in another thread. */
  void StopAccepting() const { shutdown(mDescriptor, SHUT_RD); }
  /** \returns whether all bytes were written to the socket. */
  bool Send(const std::string& aBytes) const
  {
    return send(mDescriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(aBytes.size());
  }
  /** \returns how many of the bytes were written without waiting. */
  std::size_t SendAvailable(const std::string& aBytes) const
  {
    const ssize_t n = send(mDescriptor, aBytes.data(), aBytes.size(),
                           MSG_NOSIGNAL | MSG_DONTWAIT);
    return n > 0 ? static_cast<std::size_t>(n) : 0;
  }
  void SetSendBuffer(int aBytes) const
  {
    setsockopt(mDescriptor, SOL_SOCKET, SO_SNDBUF, &aBytes, sizeof aBytes);
  }
  /** \returns whether the peer has reset the connection. */
  bool IsReset() const
  {
    int error = 0;
    socklen_t length = sizeof error;
    getsockopt(mDescriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    return error == ECONNRESET || error == EPIPE;
  }
  /** Appends the bytes that have arrived to \a aOut, without waiting for more.
   * \returns whether the connection is still open. */
  bool ReadAvailable(std::string& aOut) const
  {
    char buf[4096];
    ssize_t n = 0;
    while ((n = recv(mDescriptor, buf, sizeof buf, MSG_DONTWAIT)) > 0) {
      aOut.append(buf, static_cast<std::size_t>(n));
    }
    return n < 0 && errno == EAGAIN;
  }
  /** \returns the bytes received until the connection ends, and whether it
   * ended gracefully instead of with an error such as a reset. */
  std::pair<std::string, bool> ReadToEnd() const
  {
    std::string received;
    char buf[4096];
    ssize_t n = 0;
    while ((n = recv(mDescriptor, buf, sizeof buf, 0)) > 0) {
      received.append(buf, static_cast<std::size_t>(n));
    }
    return { received, n == 0 };
  }
  /** Appends at most \a aMaxBytes that have arrived to \a aOut, without waiting
   * for more. \returns whether the connection is still open. */
  bool ReadSome(std::string& aOut, std::size_t aMaxBytes) const
  {
    std::string buf(aMaxBytes, '\0');
    const ssize_t n = recv(mDescriptor, buf.data(), buf.size(), MSG_DONTWAIT);
    if (n > 0) {
      aOut.append(buf, 0, static_cast<std::size_t>(n));
    }
    return n > 0 || (n < 0 && errno == EAGAIN);
  }
  /** Reads \a aBytes. \returns whether all of them arrived. */
  bool ReadExactly(std::size_t aBytes) const
  {
    std::string buf(aBytes, '\0');
    return recv(mDescriptor, buf.data(), aBytes, MSG_WAITALL) ==
           static_cast<ssize_t>(aBytes);
  }
  /** Drops all that arrives from now on, so that the peer gets no more
   * acknowledgements, as if this host had vanished. */
  bool Vanish() const
  {
    sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog program{ 1, &drop };
    return setsockopt(mDescriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                      sizeof program) == 0;
  }
  /** Closes the sending side of the connection (half-close). */
  void ShutdownSending() const { shutdown(mDescriptor, SHUT_WR); }
  /** Closes the connection by a reset, also if all data was read. */
  void Reset()
  {
    const linger discard{ 1, 0 };
    setsockopt(mDescriptor, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
    Close();
  }
  void Close()
  {
    if (mDescriptor >= 0) {
      close(std::exchange(mDescriptor, -1));
    }
    mIsOpen = false;
  }

private:
  LoopbackSocket()
    : LoopbackSocket(socket(AF_INET, SOCK_STREAM, 0))
  {
  }
  explicit LoopbackSocket(int aDescriptor)
    : mDescriptor(aDescriptor)
    , mIsOpen(aDescriptor >= 0)
  {
  }

  static sockaddr_in Address(base::PortNumber aPort)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort.Count());
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    return address;
  }

  int mDescriptor;
  bool mIsOpen;
};

} // namespace auburnmux::http
