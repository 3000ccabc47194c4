#pragma once

// Stand-ins for the platform's store, backends and clients, and the start of
// the daemon as a separate process. All of them use loopback addresses and the
// real clock. Each connection has a thread of its own.

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void Sleep(int aMilliseconds)
{
  std::this_thread::sleep_for(milliseconds(aMilliseconds));
}

/** Lines of record.txt, with the time since the start in milliseconds. */
class Record
{
public:
  void Open(const std::string& aFile) { mOut.open(aFile, std::ios::trunc); }
  void Line(const std::string& aText)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mOut << Now() << " ms  " << aText << std::endl;
  }
  long Now() const
  {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - mStart)
      .count();
  }

private:
  std::mutex mMutex;
  std::ofstream mOut;
  Clock::time_point mStart = Clock::now();
};

inline Record& Log()
{
  static Record sRecord;
  return sRecord;
}

struct Address
{
  std::string mIp;
  int mPort = 0;
  std::string Text() const { return mIp + ':' + std::to_string(mPort); }
};

inline sockaddr_in ToSockaddr(const Address& aAddress)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(aAddress.mPort));
  inet_pton(AF_INET, aAddress.mIp.c_str(), &out.sin_addr);
  return out;
}

/** \returns a port that is free on \a aIp at the moment. */
inline int FreePort(const std::string& aIp)
{
  static std::set<int> sTaken;
  for (int i = 0; i < 100; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = ToSockaddr({ aIp, 0 });
    socklen_t length = sizeof address;
    const bool isBound =
      bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) == 0;
    close(fd);
    const int port = ntohs(address.sin_port);
    if (isBound && sTaken.insert(port).second) {
      return port;
    }
  }
  std::cerr << "no free port\n";
  std::exit(2);
}

using Headers = std::map<std::string, std::string>;

struct Head
{
  /** Method and target of a request; empty for a response. */
  std::string mMethod;
  std::string mTarget;
  int mStatus = 0;
  Headers mHeaders;

  std::string Get(const std::string& aName) const
  {
    const auto it = mHeaders.find(aName);
    return it == mHeaders.end() ? std::string() : it->second;
  }
};

/** A blocking connection with a read buffer. */
class Connection
{
public:
  explicit Connection(int aSocket)
    : mSocket(aSocket)
  {
    const int on = 1;
    setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  int Socket() const { return mSocket; }
  void Close()
  {
    if (mSocket >= 0) {
      close(mSocket);
      mSocket = -1;
    }
  }
  /** Closes with a reset. */
  void Reset()
  {
    const linger discard{ 1, 0 };
    setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
    Close();
  }
  bool Write(const std::string& aBytes)
  {
    std::size_t done = 0;
    while (done < aBytes.size()) {
      const ssize_t n =
        send(mSocket, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(n);
    }
    return true;
  }
  /** Reads more into the buffer. \returns false at the end, after an error or
   * after \a aTimeoutMs */
  bool Fill(int aTimeoutMs = 60000)
  {
    pollfd it{ mSocket, POLLIN, 0 };
    const int ready = poll(&it, 1, aTimeoutMs);
    mHasTimedOut = ready == 0;
    if (ready <= 0) {
      return false;
    }
    char buf[16384];
    const ssize_t n = recv(mSocket, buf, sizeof buf, 0);
    mError = n < 0 ? errno : 0;
    if (n <= 0) {
      return false;
    }
    mBuffer.append(buf, static_cast<std::size_t>(n));
    return true;
  }
  bool HasTimedOut() const { return mHasTimedOut; }
  /** \returns the error of the last read, 0 for an orderly end. */
  int Error() const { return mError; }

  /** Reads the head of a request or a response. */
  std::optional<Head> ReadHead(int aTimeoutMs = 60000)
  {
    std::size_t end = 0;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aTimeoutMs)) {
        return std::nullopt;
      }
    }
    const std::string text = mBuffer.substr(0, end);
    mBuffer.erase(0, end + 4);
    Head head;
    std::size_t start = text.find("\r\n");
    const std::string first = text.substr(0, start);
    const std::size_t a = first.find(' ');
    const std::size_t b = first.find(' ', a + 1);
    if (first.rfind("HTTP/", 0) == 0) {
      head.mStatus = std::atoi(first.c_str() + a + 1);
    } else {
      head.mMethod = first.substr(0, a);
      head.mTarget = first.substr(a + 1, b - a - 1);
    }
    while (start != std::string::npos) {
      start += 2;
      const std::size_t next = text.find("\r\n", start);
      const std::string line = text.substr(start, next - start);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        for (char& it : name) {
          it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
        }
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        head.mHeaders[name] =
          value == std::string::npos ? "" : line.substr(value);
      }
      start = next;
    }
    return head;
  }
  /** Reads up to \a aCount bytes of a body that has a length. */
  std::string ReadSome(std::size_t aCount, int aTimeoutMs = 60000)
  {
    if (mBuffer.empty() && !Fill(aTimeoutMs)) {
      return {};
    }
    const std::string out = mBuffer.substr(0, aCount);
    mBuffer.erase(0, out.size());
    return out;
  }
  /** Reads the whole body by its length or chunks, or to the end of the
   * connection if \a aMayEnd. \returns none if it is incomplete */
  std::optional<std::string> ReadBody(const Head& aHead, bool aMayEnd = false,
                                      int aTimeoutMs = 60000)
  {
    std::string body;
    if (aHead.Get("transfer-encoding") == "chunked") {
      while (true) {
        std::size_t end = 0;
        while ((end = mBuffer.find("\r\n")) == std::string::npos) {
          if (!Fill(aTimeoutMs)) {
            return std::nullopt;
          }
        }
        const std::size_t size =
          std::strtoul(mBuffer.substr(0, end).c_str(), nullptr, 16);
        while (mBuffer.size() < end + 2 + size + 2) {
          if (!Fill(aTimeoutMs)) {
            return std::nullopt;
          }
        }
        body += mBuffer.substr(end + 2, size);
        mBuffer.erase(0, end + 2 + size + 2);
        if (size == 0) {
          return body;
        }
      }
    }
    if (aHead.mHeaders.count("content-length") > 0) {
      const std::size_t size =
        std::strtoul(aHead.Get("content-length").c_str(), nullptr, 10);
      while (body.size() < size) {
        const std::string part = ReadSome(size - body.size(), aTimeoutMs);
        if (part.empty()) {
          return std::nullopt;
        }
        body += part;
      }
      return body;
    }
    if (aMayEnd) {
      while (Fill(aTimeoutMs)) {
      }
      body.swap(mBuffer);
      return mError == 0 && !mHasTimedOut ? std::optional(body) : std::nullopt;
    }
    return body;
  }

private:
  int mSocket;
  std::string mBuffer;
  bool mHasTimedOut = false;
  int mError = 0;
};

/** Opens a connection. \returns null if it failed */
inline std::unique_ptr<Connection> Connect(const Address& aTo,
                                           int aReceiveBuffer = 0)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aReceiveBuffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer,
               sizeof aReceiveBuffer);
  }
  const sockaddr_in to = ToSockaddr(aTo);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_unique<Connection>(fd);
}

/** Accepts connections and handles each on a thread of its own. */
class Listener
{
public:
  using Handler = std::function<void(Connection&)>;

  Listener(Address aAddress, Handler aHandler, int aReceiveBuffer = 0)
    : mAddress(std::move(aAddress))
    , mHandler(std::move(aHandler))
    , mSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    const int on = 1;
    setsockopt(mSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (aReceiveBuffer > 0) {
      setsockopt(mSocket, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer,
                 sizeof aReceiveBuffer);
    }
    const sockaddr_in address = ToSockaddr(mAddress);
    if (bind(mSocket, reinterpret_cast<const sockaddr*>(&address),
             sizeof address) != 0 ||
        listen(mSocket, 512) != 0) {
      std::cerr << "can't listen on " << mAddress.Text() << '\n';
      std::exit(2);
    }
    std::thread([this] { Accept(); }).detach();
  }
  const Address& At() const { return mAddress; }
  /** Refuses new connections from now on. */
  void Stop()
  {
    mIsStopped = true;
    shutdown(mSocket, SHUT_RDWR);
    close(mSocket);
  }

private:
  void Accept()
  {
    while (!mIsStopped) {
      const int fd = accept4(mSocket, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (mIsStopped) {
          return;
        }
        continue;
      }
      std::thread([this, fd] {
        Connection connection(fd);
        mHandler(connection);
      }).detach();
    }
  }

  Address mAddress;
  Handler mHandler;
  int mSocket;
  std::atomic<bool> mIsStopped{ false };
};

/** The platform's store: lists, watches and stale reads of objects. */
class Store
{
public:
  explicit Store(const std::string& aIp) { AddAddress(aIp); }
  const Address& At() const { return mListeners.back()->At(); }
  /** The store is reached at another address as well, which At() then tells. */
  void AddAddress(const std::string& aIp)
  {
    mListeners.push_back(std::make_unique<Listener>(
      Address{ aIp, FreePort(aIp) },
      [this, n = mListeners.size()](Connection& aIt) { Serve(aIt, n); }));
  }
  /** Gives up the first address, with its connections. */
  void CloseFirstAddress()
  {
    mListeners.front()->Stop();
    const std::lock_guard<std::mutex> lock(mMutex);
    for (const auto& [fd, listener] : mOpen) {
      if (listener == 0) {
        shutdown(fd, SHUT_RDWR);
      }
    }
  }

  void Put(const std::string& aKind, const std::string& aName,
           const json& aSpec)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const json object = { { "metadata",
                            { { "name", aName },
                              { "revision", ++mRevision },
                              { "created_rev", mRevision },
                              { "finalizers", json::array() },
                              { "deleting", false } } },
                          { "spec", aSpec },
                          { "status", json::object() } };
    mObjects[aKind][aName] = object;
    mEvents.push_back({ mRevision, aKind, object, false });
    mChanged.notify_all();
  }
  void Remove(const std::string& aKind, const std::string& aName)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    json object = mObjects[aKind][aName];
    mObjects[aKind].erase(aName);
    object["metadata"]["revision"] = ++mRevision;
    mEvents.push_back({ mRevision, aKind, object, true });
    mChanged.notify_all();
  }
  /** All calls are answered 503 while set; pending watches are cut. */
  void SetDown(bool aIsDown)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mIsDown = aIsDown;
    mChanged.notify_all();
  }

private:
  struct Event
  {
    std::uint64_t mRevision;
    std::string mKind;
    json mObject;
    bool mIsDeleted;
  };

  static std::string Query(const std::string& aTarget, const std::string& aKey)
  {
    const std::size_t start = aTarget.find('?');
    std::size_t n = start;
    while (n != std::string::npos) {
      const std::size_t end = aTarget.find('&', n + 1);
      const std::string pair = aTarget.substr(n + 1, end - n - 1);
      if (pair.rfind(aKey + '=', 0) == 0) {
        return pair.substr(aKey.size() + 1);
      }
      n = end;
    }
    return {};
  }
  static bool Answer(Connection& aConnection, int aStatus, const json& aBody)
  {
    const std::string body = aBody.dump();
    return aConnection.Write("HTTP/1.1 " + std::to_string(aStatus) +
                             " Status\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  void Serve(Connection& aConnection, std::size_t aListener)
  {
    const int fd = aConnection.Socket();
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mOpen[fd] = aListener;
    }
    while (const auto head = aConnection.ReadHead()) {
      aConnection.ReadBody(*head);
      if (!Handle(aConnection, *head)) {
        break;
      }
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    mOpen.erase(fd);
  }
  bool Handle(Connection& aConnection, const Head& aHead)
  {
    std::unique_lock<std::mutex> lock(mMutex);
    if (mIsDown) {
      lock.unlock();
      return Answer(aConnection, 503, json::object());
    }
    const std::string path = aHead.mTarget.substr(0, aHead.mTarget.find('?'));
    const std::string kind = path.substr(path.rfind('/') + 1);
    const std::string watch = Query(aHead.mTarget, "watch");
    if (watch.empty()) {
      json items = json::array();
      for (const auto& [name, object] : mObjects[kind]) {
        items.push_back(object);
      }
      const json body = { { "items", items },
                          { "has_more", false },
                          { "as_of", mRevision } };
      lock.unlock();
      return Answer(aConnection, 200, body);
    }
    const std::uint64_t since = std::strtoull(watch.c_str(), nullptr, 10);
    const auto until =
      Clock::now() +
      milliseconds(std::atoi(Query(aHead.mTarget, "wait_ms").c_str()));
    json events = json::array();
    while (true) {
      for (const Event& it : mEvents) {
        if (it.mKind == kind && it.mRevision > since) {
          events.push_back(
            { { "object", it.mObject }, { "deleted", it.mIsDeleted } });
        }
      }
      if (!events.empty() || mIsDown ||
          mChanged.wait_until(lock, until) == std::cv_status::timeout) {
        break;
      }
    }
    if (mIsDown) {
      lock.unlock();
      return Answer(aConnection, 503, json::object());
    }
    const json body = { { "events", events }, { "as_of", mRevision } };
    lock.unlock();
    return Answer(aConnection, 200, body);
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, std::map<std::string, json>> mObjects;
  std::vector<Event> mEvents;
  std::uint64_t mRevision = 100;
  bool mIsDown = false;
  /** The open connections, with the number of their listener. */
  std::map<int, std::size_t> mOpen;
  std::vector<std::unique_ptr<Listener>> mListeners;
};

/** A link that ends TCP, as a balancer does, and can stop to carry the bytes of
 * open connections. They stay open, and new ones work. */
class Link
{
public:
  Link(const std::string& aIp, Address aTo)
    : mTo(std::move(aTo))
    , mListener({ aIp, FreePort(aIp) }, [this](Connection& aIt) { Carry(aIt); })
  {
  }
  const Address& At() const { return mListener.At(); }
  /** Silences the open connections whose last request contains one of the
   * texts. \returns how many of how many */
  std::pair<int, int> Silence(const std::vector<std::string>& aTexts)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    int n = 0;
    for (const auto& it : mFlows) {
      for (const std::string& text : aTexts) {
        if (!it->mIsSilent && it->mLastRequest.find(text) != std::string::npos) {
          it->mIsSilent = true;
          ++n;
        }
      }
    }
    return { n, static_cast<int>(mFlows.size()) };
  }

private:
  struct Flow
  {
    std::string mLastRequest;
    std::atomic<bool> mIsSilent{ false };
  };

  void Carry(Connection& aFrom)
  {
    const auto to = Connect(mTo);
    if (!to) {
      return;
    }
    const auto flow = std::make_shared<Flow>();
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mFlows.insert(flow);
    }
    pollfd fds[2] = { { aFrom.Socket(), POLLIN, 0 },
                      { to->Socket(), POLLIN, 0 } };
    bool isOpen = true;
    while (isOpen && poll(fds, 2, -1) > 0) {
      for (int i = 0; i < 2 && isOpen; ++i) {
        if (fds[i].revents == 0) {
          continue;
        }
        char buf[16384];
        const ssize_t n = recv(fds[i].fd, buf, sizeof buf, 0);
        isOpen = n > 0 || (n < 0 && errno == EINTR);
        if (n > 0 && !flow->mIsSilent) {
          const std::string bytes(buf, static_cast<std::size_t>(n));
          if (i == 0) {
            const std::lock_guard<std::mutex> lock(mMutex);
            flow->mLastRequest = bytes;
          }
          isOpen = (i == 0 ? *to : aFrom).Write(bytes);
        }
      }
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    mFlows.erase(flow);
  }

  Address mTo;
  std::mutex mMutex;
  std::set<std::shared_ptr<Flow>> mFlows;
  Listener mListener;
};

/** One machine of the deployment: the daemon, as the deploy file starts it. */
class Machine
{
public:
  Machine(std::string aName, std::string aIp, const std::string& aFolder,
          int aFirstPort)
    : mName(std::move(aName))
    , mIp(std::move(aIp))
    , mSettingsFile(aFolder + '/' + mName + ".json")
    , mLogFile(aFolder + '/' + mName + ".log")
    , mFirstPort(aFirstPort)
  {
  }
  ~Machine() { Kill(SIGKILL); }
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  Address Front() const { return { mIp, mFirstPort }; }
  Address Ready() const { return { mIp, mFirstPort + 1 }; }
  Address Control() const { return { mIp, mFirstPort + 2 }; }

  json Settings(const std::string& aZone, const std::string& aRegion,
                const json& aZones, const json& aSeeds,
                const Address& aStore) const
  {
    const auto at = [this](int aNumber) {
      return Address{ mIp, mFirstPort + aNumber }.Text();
    };
    return { { "node_name", mName },
             { "role", "entry" },
             { "machine_class", "edge" },
             { "serves", { "edge", "directory", "control" } },
             { "ip", mIp },
             { "zone", aZone },
             { "region", aRegion },
             { "zones", aZones },
             { "listen",
               { { "front", at(0) },
                 { "ready", at(1) },
                 { "control", at(2) },
                 { "directory", at(3) } } },
             { "internal_ports", { mFirstPort + 4, mFirstPort + 5 } },
             { "seeds", aSeeds },
             { "first_start", true },
             { "loss_counts", false },
             { "limits",
               { { "cpu_share", 0.6 },
                 { "cores", 1 },
                 { "memory_mb", 780 },
                 { "max_fds", 12300 },
                 { "link_mbps", 3000.0 },
                 { "disk_mb", 0 } } },
             { "data_dir", nullptr },
             { "discovery", "platform" },
             { "entry", "directory" },
             { "heartbeat_ms", 1500 },
             { "contracts",
               { "base", "drain", "config", "cost", "retry", "recover",
                 "places", "platform" } },
             { "fault_tolerance",
               { { "machines", 1 }, { "zones", 1 }, { "regions", 1 } } },
             { "bounds",
               { { "seed_lag_s", 3 },          { "reuse_after_s", 2 },
                 { "stable_window_ms", 3000 }, { "ack_ms", 4000 },
                 { "catch_up_s", 4 },          { "drain_ms", 2500 },
                 { "grace_s", 6 },             { "loss_slack_ms", 200 },
                 { "config_apply_ms", 2500 },  { "regression_bound_ms", 250 },
                 { "max_stretch_ms", 5000 },   { "budget_ratio", 0.2 },
                 { "budget_window_s", 10 },    { "budget_burst", 64 },
                 { "cold_over", 1.5 },         { "cold_slack", 5 },
                 { "evacuate_ms", 5000 },      { "recover_s", 15 },
                 { "ttl_max_s", 5 },           { "max_shift", 0.15 } } },
             { "platform",
               { { "address", aStore.Text() },
                 { "form", "objects" },
                 { "writes_per_s", 400 },
                 { "reads_per_s", 2000 },
                 { "history_s", 20 },
                 { "value_bytes", 1048576 },
                 { "ttl_min_ms", 1000 } } } };
  }
  /** Replaces the settings file at once, as a rename does. */
  void WriteSettings(const json& aSettings)
  {
    std::ofstream(mSettingsFile + ".new") << aSettings.dump(2);
    std::rename((mSettingsFile + ".new").c_str(), mSettingsFile.c_str());
  }
  /** Starts the daemon from the root of the repository. */
  void Start(const json& aSettings)
  {
    WriteSettings(aSettings);
    mPid = fork();
    if (mPid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the test, whatever happens
      const int out = open(mLogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      setenv("AUBURNMUX_CONFIG", mSettingsFile.c_str(), 1);
      execl("target/apps/auburnmuxd/auburnmuxd",
            "target/apps/auburnmuxd/auburnmuxd", "--on-platform",
            static_cast<char*>(nullptr));
      _exit(127);
    }
    Log().Line(mName + ": started, process " + std::to_string(mPid));
  }
  void Signal(int aSignal)
  {
    if (mPid > 0) {
      kill(mPid, aSignal);
      Log().Line(mName + ": signal " + std::to_string(aSignal));
    }
  }
  /** \returns whether the process has ended; its status is then recorded. */
  bool HasEnded()
  {
    int status = 0;
    if (mPid > 0 && waitpid(mPid, &status, WNOHANG) == mPid) {
      mPid = 0;
      mStatus = status;
      Log().Line(mName + ": ended, wait status " + std::to_string(status));
    }
    return mPid == 0;
  }
  int Status() const { return mStatus; }
  pid_t Pid() const { return mPid; }
  void Kill(int aSignal)
  {
    if (mPid > 0) {
      kill(mPid, aSignal);
      waitpid(mPid, &mStatus, 0);
      mPid = 0;
    }
  }
  /** Waits until the daemon says that it is ready; exits with 2 if it doesn't.
   */
  void WaitUntilReady()
  {
    for (int i = 0; i < 200; ++i) {
      Sleep(100);
      const auto connection = Connect(Ready());
      if (connection &&
          connection->Write("GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")) {
        const auto head = connection->ReadHead(1000);
        if (head && head->mStatus == 200) {
          Log().Line(mName + ": ready");
          return;
        }
      }
    }
    std::cerr << mName << " isn't ready\n";
    Kill(SIGKILL);
    std::exit(2);
  }

private:
  std::string mName;
  std::string mIp;
  std::string mSettingsFile;
  std::string mLogFile;
  int mFirstPort;
  pid_t mPid = 0;
  int mStatus = 0;
};

/** \returns the first of eight ports that are free on \a aIp. */
inline int FreePorts(const std::string& aIp)
{
  for (int i = 0; i < 100; ++i) {
    const int first = FreePort(aIp);
    bool areFree = first + 8 < 65536;
    for (int n = 1; areFree && n < 8; ++n) {
      const int fd = socket(AF_INET, SOCK_STREAM, 0);
      const sockaddr_in address = ToSockaddr({ aIp, first + n });
      areFree = bind(fd, reinterpret_cast<const sockaddr*>(&address),
                     sizeof address) == 0;
      close(fd);
    }
    if (areFree) {
      return first;
    }
  }
  std::cerr << "no free ports\n";
  std::exit(2);
}

/** \returns a route of the configuration. */
inline json Route(const char* aPrefix, const char* aKind, const char* aService,
                  int aTimeoutMs, int aMaxAttempts)
{
  return { { "host", "portal.example" },
           { "path_prefix", aPrefix },
           { "kind", aKind },
           { "timeout_ms", aTimeoutMs },
           { "target_latency_ms", 400 },
           { "priority", 1 },
           { "service", aService },
           { "max_attempts", aMaxAttempts },
           { "session_affinity", false },
           { "allowed_regions", json::array() } };
}

inline json Service()
{
  return { { "health_path", "/healthz" },
           { "max_connections", 390 },
           { "cold_start_s", 3.0 },
           { "cold_per_s", 20.0 } };
}

inline json Limits()
{
  return { { "max_header_bytes", 16384 },
           { "max_body_bytes", 16777216 },
           { "header_timeout_ms", 5000 },
           { "idle_timeout_ms", 8000 } };
}

/** \returns the entry of a backend. */
inline json Server(const char* aService, const Address& aAddress,
                   const char* aZone, long aBorn, const char* aState = "ready",
                   int aSlots = 9, int aSequence = 1)
{
  return { { "service", aService },
           { "address", aAddress.Text() },
           { "zone", aZone },
           { "version", "v1" },
           { "slots", aSlots },
           { "state", aState },
           { "cold_remaining_ms", 0 },
           { "sequence", aSequence },
           { "born", aBorn } };
}

/** \returns the zones of a small deployment, with their regions. */
inline json Zones()
{
  return { { "addis-a", "addis" },       { "bahirdar-a", "bahirdar" },
           { "hawassa-a", "hawassa" },   { "addis-b", "addis" },
           { "bahirdar-b", "bahirdar" }, { "hawassa-b", "hawassa" } };
}

/** Prints the result and ends the program and the daemons with it. */
[[noreturn]] inline void Finish(const std::vector<std::string>& aBreaches)
{
  for (const std::string& it : aBreaches) {
    Log().Line("BROKEN " + it);
    std::cout << "BROKEN " << it << '\n';
  }
  Log().Line(aBreaches.empty() ? "result: held" : "result: broken");
  std::cout << (aBreaches.empty() ? "held" : "broken") << std::endl;
  _exit(aBreaches.empty() ? 0 : 1);
}

/** Ends a run in which the case could not be played. */
[[noreturn]] inline void GiveUp(const std::string& aReason)
{
  Log().Line("result: not played, " + aReason);
  std::cout << "not played: " << aReason << std::endl;
  _exit(2);
}

inline bool HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

inline long UnixMs()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace review
