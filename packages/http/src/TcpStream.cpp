#include "http/src/TcpStream.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace auburnmux::http::internal {

namespace {

// Maximum capacity that an empty send buffer retains.
constexpr std::size_t kMaxIdleBufferBytes = 4096;

// Sent bytes that a send buffer may keep beside as many unsent ones. Below, it
// costs less to keep them than to copy the rest.
constexpr std::size_t kMaxSentBytesKept = 65536;

std::optional<sockaddr_in> ToSocketAddress(const std::string& aAddress,
                                           std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  if (inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

void SetOption(int aDescriptor, int aLevel, int aName, int aValue)
{
  setsockopt(aDescriptor, aLevel, aName, &aValue, sizeof aValue);
}

void SetUserTimeout(int aDescriptor, base::Duration aTimeout)
{
  const auto ms =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTimeout).count();
  SetOption(aDescriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(ms));
}

void SetSilenceLimits(int aDescriptor, const SilenceLimits& aLimits)
{
  const auto idle = std::max<std::chrono::seconds::rep>(
    std::chrono::duration_cast<std::chrono::seconds>(aLimits.mProbeAfter)
      .count(),
    1);
  SetUserTimeout(aDescriptor, aLimits.mUnacknowledgedTimeout);
  SetOption(aDescriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aDescriptor, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(idle));
  SetOption(aDescriptor, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  SetOption(aDescriptor, IPPROTO_TCP, TCP_KEEPCNT,
            static_cast<int>(aLimits.mMaxProbes));
}

} // namespace

TcpStream::TcpStream(Loop& aLoop, SocketWatcher& aWatcher,
                     std::shared_ptr<buffering::HeldBytes> aAccount,
                     buffering::Receiver aReceiver)
  : mLoop(aLoop)
  , mWatcher(aWatcher)
  , mHolding(std::move(aAccount), aReceiver)
{
}

TcpStream::~TcpStream()
{
  Close();
}

void TcpStream::Adopt(int aDescriptor)
{
  mDescriptor = aDescriptor;
  mLoop.Observe(mDescriptor, mWatcher);
}

bool TcpStream::Connect(const Endpoint& aTo, const std::string& aSource,
                        const SilenceLimits& aLimits)
{
  const auto to = ToSocketAddress(aTo.mAddress, aTo.mPort.Count());
  const auto from = ToSocketAddress(aSource.empty() ? "0.0.0.0" : aSource, 0);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0 || !to || !from) {
    if (fd >= 0) {
      close(fd);
    }
    return false;
  }
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetSilenceLimits(fd, aLimits);
  const bool isBound =
    aSource.empty() ||
    bind(fd, reinterpret_cast<const sockaddr*>(&*from), sizeof *from) == 0;
  const bool isStarted =
    isBound &&
    (connect(fd, reinterpret_cast<const sockaddr*>(&*to), sizeof *to) == 0 ||
     errno == EINPROGRESS);
  if (!isStarted) {
    close(fd);
    return false;
  }
  Adopt(fd);
  return true;
}

int TcpStream::ConnectError() const
{
  int error = 0;
  socklen_t length = sizeof error;
  return getsockopt(mDescriptor, SOL_SOCKET, SO_ERROR, &error, &length) == 0
           ? error
           : errno;
}

TcpStream::ReadResult TcpStream::Read(std::string& aOut)
{
  std::array<char, kMaxReadBytes> buf; // NOLINT: filled by recv()
  const ssize_t n = recv(mDescriptor, buf.data(), buf.size(), 0);
  if (n > 0) {
    aOut.append(buf.data(), static_cast<std::size_t>(n));
    const bool mayHaveMore =
      mIsHungUp || static_cast<std::size_t>(n) == buf.size();
    return mayHaveMore ? ReadResult::Data : ReadResult::Blocked;
  }
  if (n == 0) {
    return mIsBroken ? ReadResult::Broken : ReadResult::End;
  }
  const bool isBlocked = errno == EAGAIN || errno == EINTR;
  return isBlocked ? ReadResult::Blocked : ReadResult::Broken;
}

bool TcpStream::Flush()
{
  while (PendingBytes() > 0) {
    const ssize_t n = send(mDescriptor, mOutput.data() + mOutputStart,
                           PendingBytes(), MSG_NOSIGNAL);
    if (n < 0) {
      mIsBroken = errno != EAGAIN && errno != EINTR;
      DropSent();
      return !mIsBroken;
    }
    mHasSent = mHasSent || n > 0;
    mOutputStart += static_cast<std::size_t>(n);
    mSentBytes += static_cast<std::uint64_t>(n);
  }
  mOutput.clear();
  mOutputStart = 0;
  if (mOutput.capacity() > kMaxIdleBufferBytes) {
    mOutput.shrink_to_fit();
  }
  mHolding.Set(0);
  return true;
}

void TcpStream::DropSent()
{
  if (mOutputStart >= kMaxSentBytesKept && mOutputStart >= PendingBytes()) {
    mOutput = mOutput.substr(mOutputStart);
    mOutputStart = 0;
    mHolding.Set(mOutput.size());
  }
}

std::size_t TcpStream::UnacknowledgedBytes() const
{
  return PendingBytes() + UnacknowledgedSentBytes();
}

std::size_t TcpStream::UnacknowledgedSentBytes() const
{
  int n = 0;
  if (mDescriptor >= 0 && ioctl(mDescriptor, SIOCOUTQ, &n) != 0) {
    base::LogWarning(base::LogLine("unacknowledged_unknown")
                       .With("error", std::strerror(errno)));
  }
  return static_cast<std::size_t>(n);
}

std::optional<SendProgress> TcpStream::Progress() const
{
  const bool hasUnacknowledged = UnacknowledgedSentBytes() > 0;
  tcp_info info{};
  socklen_t length = sizeof info;
  if (hasUnacknowledged &&
      getsockopt(mDescriptor, IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
    return std::nullopt;
  }
  return SendProgress{ hasUnacknowledged && info.tcpi_unacked == 0,
                       info.tcpi_backoff,
                       std::chrono::milliseconds(info.tcpi_last_ack_recv) };
}

void TcpStream::SetUnacknowledgedTimeout(base::Duration aTimeout)
{
  SetUserTimeout(mDescriptor, aTimeout);
}

void TcpStream::ShutdownSending()
{
  mOutput = {};
  mOutputStart = 0;
  mHolding.Set(0);
  ++mSentBytes; // SIOCOUTQ counts the end of the stream as a byte
  shutdown(mDescriptor, SHUT_WR);
}

void TcpStream::CloseDiscardingUnacknowledged()
{
  if (UnacknowledgedBytes() > 0) {
    DiscardOnClose();
  }
  Close();
}

void TcpStream::DiscardOnClose()
{
  const linger discard{ 1, 0 };
  setsockopt(mDescriptor, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
}

void TcpStream::Close()
{
  if (mDescriptor >= 0) {
    mLoop.Release(mDescriptor);
    close(mDescriptor);
    mDescriptor = -1;
    mOutput = {};
    mOutputStart = 0;
    mHolding.Set(0);
  }
}

} // namespace auburnmux::http::internal
