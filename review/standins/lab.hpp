// Shared parts of the stand-ins: blocking sockets, HTTP/1.1 messages, records.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;

inline void SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

inline std::int64_t WallMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline std::int64_t MonotonicMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           Clock::now().time_since_epoch())
    .count();
}

/** Command line options of the form --name value. */
class Options
{
public:
  Options(int aCount, char** aWords, int aFirst)
  {
    for (int i = aFirst; i + 1 < aCount; i += 2) {
      mValues[aWords[i] + 2] = aWords[i + 1];
    }
  }
  std::string Text(const std::string& aName, const std::string& aDefault = "")
    const
  {
    const auto it = mValues.find(aName);
    return it == mValues.end() ? aDefault : it->second;
  }
  double Number(const std::string& aName, double aDefault) const
  {
    const auto it = mValues.find(aName);
    return it == mValues.end() ? aDefault : std::atof(it->second.c_str());
  }

private:
  std::map<std::string, std::string> mValues;
};

/** Appends whole lines to a file that several processes share. */
class Record
{
public:
  explicit Record(const std::string& aFile)
    : mFd(aFile.empty()
            ? -1
            : open(aFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                   0644))
  {
  }
  void Write(const std::string& aLine) const
  {
    if (mFd >= 0) {
      const std::string line =
        std::to_string(MonotonicMs()) + ' ' + aLine + '\n';
      (void)!write(mFd, line.data(), line.size());
    }
  }

private:
  int mFd;
};

inline sockaddr_in ToAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, aText.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::atoi(aText.c_str() + colon + 1)));
  return address;
}

struct Message
{
  /** Request line or status line. */
  std::string mStart;
  /** Names in lower case. */
  std::map<std::string, std::string> mFields;
  std::string mBody;

  std::string Field(const std::string& aName) const
  {
    const auto it = mFields.find(aName);
    return it == mFields.end() ? "" : it->second;
  }
  int Status() const
  {
    return mStart.size() > 12 ? std::atoi(mStart.c_str() + 9) : 0;
  }
  std::string Method() const { return mStart.substr(0, mStart.find(' ')); }
  std::string Target() const
  {
    const std::size_t start = mStart.find(' ') + 1;
    return mStart.substr(start, mStart.find(' ', start) - start);
  }
};

/** How reading ended. */
enum class ReadEnd
{
  Complete,
  /** The peer closed in order. */
  Closed,
  Reset,
  Timeout,
  Malformed
};

/** A connection with blocking reads and writes. */
class Connection
{
public:
  explicit Connection(int aFd = -1)
    : mFd(aFd)
  {
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Connect(const std::string& aTo, std::int64_t aTimeoutMs = 1000)
  {
    mFd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(mFd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    SetTimeout(aTimeoutMs);
    const sockaddr_in address = ToAddress(aTo);
    return connect(mFd, reinterpret_cast<const sockaddr*>(&address),
                   sizeof address) == 0;
  }
  void SetTimeout(std::int64_t aMs)
  {
    aMs = aMs < 1 ? 1 : aMs;
    timeval limit{ aMs / 1000, (aMs % 1000) * 1000 };
    setsockopt(mFd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(mFd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  }
  bool Write(const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t n =
        send(mFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  /** Reads the head of a message. */
  ReadEnd ReadHead(Message& aMessage)
  {
    std::size_t end = 0;
    while ((end = mInput.find("\r\n\r\n")) == std::string::npos) {
      const ReadEnd it = Fill();
      if (it != ReadEnd::Complete) {
        return it;
      }
    }
    const std::string head = mInput.substr(0, end + 2);
    mInput.erase(0, end + 4);
    std::size_t start = head.find("\r\n");
    aMessage = {};
    aMessage.mStart = head.substr(0, start);
    for (start += 2; start < head.size();) {
      const std::size_t lineEnd = head.find("\r\n", start);
      const std::string line = head.substr(start, lineEnd - start);
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        return ReadEnd::Malformed;
      }
      std::string name = line.substr(0, colon);
      for (char& it : name) {
        it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
      }
      const std::size_t value = line.find_first_not_of(" \t", colon + 1);
      aMessage.mFields[name] =
        value == std::string::npos ? "" : line.substr(value);
      start = lineEnd + 2;
    }
    return ReadEnd::Complete;
  }
  /** Reads the body of a message whose head was read. */
  ReadEnd ReadBody(Message& aMessage, bool aIsResponse)
  {
    if (aMessage.Field("transfer-encoding") == "chunked") {
      return ReadChunks(aMessage.mBody);
    }
    const std::string length = aMessage.Field("content-length");
    if (!length.empty()) {
      return ReadExactly(std::strtoull(length.c_str(), nullptr, 10),
                         aMessage.mBody);
    }
    if (!aIsResponse) {
      return ReadEnd::Complete;
    }
    ReadEnd it = ReadEnd::Complete;
    while (it == ReadEnd::Complete) {
      it = Fill();
    }
    aMessage.mBody = std::exchange(mInput, {});
    return it == ReadEnd::Closed ? ReadEnd::Complete : it;
  }
  ReadEnd ReadExactly(std::size_t aCount, std::string& aOut)
  {
    aOut.reserve(aOut.size() + aCount);
    while (aCount > 0) {
      if (mInput.empty()) {
        const ReadEnd it = Fill();
        if (it != ReadEnd::Complete) {
          return it;
        }
      }
      const std::size_t n = std::min(aCount, mInput.size());
      aOut.append(mInput, 0, n);
      mInput.erase(0, n);
      aCount -= n;
    }
    return ReadEnd::Complete;
  }
  /** Whether the peer has closed or reset the connection. */
  bool IsPeerGone() const
  {
    pollfd it{ mFd, POLLRDHUP, 0 };
    return poll(&it, 1, 0) > 0 &&
           (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }
  int Fd() const { return mFd; }
  void Close()
  {
    if (mFd >= 0) {
      close(mFd);
      mFd = -1;
    }
  }

private:
  ReadEnd Fill()
  {
    char buf[65536];
    const ssize_t n = recv(mFd, buf, sizeof buf, 0);
    if (n > 0) {
      mInput.append(buf, static_cast<std::size_t>(n));
      return ReadEnd::Complete;
    }
    if (n == 0) {
      return ReadEnd::Closed;
    }
    return errno == EAGAIN || errno == EWOULDBLOCK ? ReadEnd::Timeout
                                                   : ReadEnd::Reset;
  }
  ReadEnd ReadLine(std::string& aLine)
  {
    std::size_t end = 0;
    while ((end = mInput.find("\r\n")) == std::string::npos) {
      const ReadEnd it = Fill();
      if (it != ReadEnd::Complete) {
        return it;
      }
    }
    aLine = mInput.substr(0, end);
    mInput.erase(0, end + 2);
    return ReadEnd::Complete;
  }
  ReadEnd ReadChunks(std::string& aOut)
  {
    for (;;) {
      std::string line;
      ReadEnd it = ReadLine(line);
      if (it != ReadEnd::Complete) {
        return it;
      }
      const std::size_t size = std::strtoull(line.c_str(), nullptr, 16);
      if (size == 0) {
        return ReadLine(line);
      }
      it = ReadExactly(size, aOut);
      if (it == ReadEnd::Complete) {
        it = ReadLine(line);
      }
      if (it != ReadEnd::Complete) {
        return it;
      }
    }
  }

  int mFd;
  std::string mInput;
};

/** Accepts connections and serves each in a thread of its own. */
inline void Serve(const std::string& aListen,
                  const std::function<void(Connection&)>& aHandler,
                  int aReceiveBuffer = 0)
{
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (aReceiveBuffer > 0) {
    setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer,
               sizeof aReceiveBuffer);
  }
  const sockaddr_in address = ToAddress(aListen);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0 ||
      listen(listener, 1024) != 0) {
    std::perror(("listen on " + aListen).c_str());
    std::exit(2);
  }
  for (;;) {
    const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::thread([fd, &aHandler] {
      Connection connection(fd);
      aHandler(connection);
    }).detach();
  }
}

/** Sends one request on a new connection. \returns the response, if complete */
inline std::optional<Message> Call(const std::string& aTo,
                                   const std::string& aMethod,
                                   const std::string& aTarget,
                                   const std::string& aBody = "")
{
  Connection connection;
  Message response;
  const bool isSent =
    connection.Connect(aTo) &&
    connection.Write(aMethod + ' ' + aTarget + " HTTP/1.1\r\nHost: " + aTo +
                     "\r\nContent-Length: " + std::to_string(aBody.size()) +
                     "\r\nConnection: close\r\n\r\n" + aBody);
  if (!isSent || connection.ReadHead(response) != ReadEnd::Complete ||
      connection.ReadBody(response, true) != ReadEnd::Complete) {
    return std::nullopt;
  }
  return response;
}

/** FNV-1a. */
inline std::string Digest(const std::string& aBytes)
{
  std::uint64_t hash = 14695981039346656037ULL;
  for (const char it : aBytes) {
    hash = (hash ^ static_cast<unsigned char>(it)) * 1099511628211ULL;
  }
  char buf[17];
  std::snprintf(buf, sizeof buf, "%016llx",
                static_cast<unsigned long long>(hash));
  return buf;
}

/** \returns text whose every part differs, so that a gap changes its digest. */
inline std::string MakeBody(const std::string& aId, std::size_t aBytes)
{
  std::string body;
  body.reserve(aBytes + 32);
  for (std::size_t i = 0; body.size() < aBytes; ++i) {
    body += aId + ':' + std::to_string(i) + '\n';
  }
  body.resize(aBytes);
  return body;
}

/** \returns the front addresses that a directory names. */
inline std::vector<std::string> Resolve(const std::string& aDirectory,
                                        const std::string& aQuery)
{
  std::vector<std::string> addresses;
  const auto response = Call(aDirectory, "GET", "/v1/resolve?" + aQuery);
  if (!response || response->Status() != 200) {
    return addresses;
  }
  std::size_t end = response->mBody.find(']');
  std::size_t start = response->mBody.find('[');
  while (start != std::string::npos && start < end) {
    const std::size_t first = response->mBody.find('"', start);
    if (first == std::string::npos || first > end) {
      break;
    }
    const std::size_t last = response->mBody.find('"', first + 1);
    addresses.push_back(response->mBody.substr(first + 1, last - first - 1));
    start = last + 1;
  }
  return addresses;
}

} // namespace lab
