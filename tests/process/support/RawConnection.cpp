#include "support/RawConnection.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace auburnmux::process {

namespace {

constexpr timeval kSilence{ 15, 0 };
constexpr std::size_t kMaxAnswer = 1000000;

} // namespace

RawConnection::RawConnection(const http::Endpoint& aEndpoint)
  : mDescriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.mPort.Count());
  inet_pton(AF_INET, aEndpoint.mAddress.c_str(), &address.sin_addr);
  setsockopt(mDescriptor, SOL_SOCKET, SO_RCVTIMEO, &kSilence, sizeof kSilence);
  setsockopt(mDescriptor, SOL_SOCKET, SO_SNDTIMEO, &kSilence, sizeof kSilence);
  if (connect(mDescriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    close(mDescriptor);
    mDescriptor = -1;
  }
}

RawConnection::~RawConnection()
{
  if (mDescriptor >= 0) {
    close(mDescriptor);
  }
}

void RawConnection::Send(const std::string& aBytes) const
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t n = send(mDescriptor, aBytes.data() + sent,
                           aBytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return;
    }
    sent += static_cast<std::size_t>(n);
  }
}

std::string RawConnection::ReadUntil(const std::string& aEnd) const
{
  std::string text;
  std::array<char, 4096> buf{};
  while (text.find(aEnd) == std::string::npos && text.size() < kMaxAnswer) {
    const ssize_t n = recv(mDescriptor, buf.data(), buf.size(), 0);
    if (n <= 0) {
      break;
    }
    text.append(buf.data(), static_cast<std::size_t>(n));
  }
  return text;
}

} // namespace auburnmux::process
