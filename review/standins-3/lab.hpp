// Stand-ins for review cases 11 to 15: a store, backends, raw clients and the
// processes of a small deployment, all on loopback addresses. Each stand-in
// uses one thread per connection and blocking sockets.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <signal.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline Clock::time_point Start()
{
  static const Clock::time_point start = Clock::now();
  return start;
}

/** Seconds since the start of the case. */
inline double Now()
{
  return std::chrono::duration<double>(Clock::now() - Start()).count();
}

inline void Sleep(int ms)
{
  std::this_thread::sleep_for(Millis(ms));
}

/** Whether the disruption of the case is to be made. */
inline bool HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/** The record of what was sent, answered and run. */
class Record
{
public:
  explicit Record(const std::string& path)
    : mOut(std::fopen(path.c_str(), "w"))
  {
  }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3)))
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    va_list args;
    va_start(args, format);
    std::fprintf(mOut, "%8.3f ", Now());
    std::vfprintf(mOut, format, args);
    std::fputc('\n', mOut);
    std::fflush(mOut);
    va_end(args);
  }

private:
  std::mutex mMutex;
  std::FILE* mOut;
};

inline sockaddr_in Address(const std::string& ip, int port)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int Listen(const std::string& ip, int port)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = Address(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
        0 ||
      listen(fd, 1024) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int PortOf(int fd)
{
  sockaddr_in address{};
  socklen_t length = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

/** Returns the first of `count` consecutive ports that are free on all `ips`.
 */
inline int FreePorts(const std::vector<std::string>& ips, int count)
{
  for (int base = 20000 + (getpid() % 400) * 20; base < 32000; base += 20) {
    bool isFree = true;
    for (const std::string& ip : ips) {
      for (int i = 0; isFree && i < count; ++i) {
        const int fd = Listen(ip, base + i);
        isFree = fd >= 0;
        if (fd >= 0) {
          close(fd);
        }
      }
    }
    if (isFree) {
      return base;
    }
  }
  return -1;
}

inline std::string Lower(std::string text)
{
  for (char& it : text) {
    it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
  }
  return text;
}

/** A message as read from a connection. */
struct Message
{
  std::string start; // request or status line
  std::map<std::string, std::string> headers;
  std::string body;
  std::string Header(const std::string& name) const
  {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
  int Status() const
  {
    return start.size() > 9 ? std::atoi(start.c_str() + 9) : 0;
  }
  std::string Method() const { return start.substr(0, start.find(' ')); }
  std::string Target() const
  {
    const std::size_t a = start.find(' ') + 1;
    return start.substr(a, start.find(' ', a) - a);
  }
};

/** A connection with a read buffer. */
class Connection
{
public:
  explicit Connection(int fd)
    : mFd(fd)
  {
    const int on = 1;
    setsockopt(mFd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::unique_ptr<Connection> To(const std::string& ip, int port,
                                        int receiveBuffer = 0)
  {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) {
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer,
                 sizeof receiveBuffer);
    }
    const sockaddr_in address = Address(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
      close(fd);
      return nullptr;
    }
    return std::make_unique<Connection>(fd);
  }

  int Fd() const { return mFd; }
  bool Send(const std::string& bytes)
  {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n =
        send(mFd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  /** Closes with a reset. */
  void Reset()
  {
    const linger discard{ 1, 0 };
    setsockopt(mFd, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
    Close();
  }
  void Close()
  {
    if (mFd >= 0) {
      close(mFd);
      mFd = -1;
    }
  }
  /** Reads one message; none if the connection ends, or nothing arrives within
   * the timeout, before its end. */
  std::optional<Message> Read(int timeoutMs)
  {
    const auto until = Clock::now() + Millis(timeoutMs);
    std::size_t end = 0;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) {
        return std::nullopt;
      }
    }
    Message message;
    std::istringstream head(mBuffer.substr(0, end));
    std::string line;
    std::getline(head, line);
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    message.start = line;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t from = line.find_first_not_of(" \t", colon + 1);
        message.headers[Lower(line.substr(0, colon))] =
          from == std::string::npos ? "" : line.substr(from);
      }
    }
    mBuffer.erase(0, end + 4);
    if (Lower(message.Header("transfer-encoding")) == "chunked") {
      return ReadChunks(std::move(message), until);
    }
    const std::size_t length = static_cast<std::size_t>(
      std::strtoull(message.Header("content-length").c_str(), nullptr, 10));
    while (mBuffer.size() < length) {
      if (!Fill(until)) {
        mPartial = mBuffer.size();
        return std::nullopt;
      }
    }
    message.body = mBuffer.substr(0, length);
    mBuffer.erase(0, length);
    return message;
  }
  /** Whether the last Read() failed because the peer closed or reset. */
  bool IsClosed() const { return mIsClosed; }
  /** Bytes of an incomplete body that the last Read() got. */
  std::size_t Partial() const { return mPartial; }
  /** Reads at most `max` bytes into the buffer. Returns how many it has. */
  bool Fill(Clock::time_point until, std::size_t max = 65536)
  {
    pollfd it{ mFd, POLLIN, 0 };
    const auto left =
      std::chrono::duration_cast<Millis>(until - Clock::now()).count();
    if (left <= 0 || poll(&it, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    std::vector<char> buf(max);
    const ssize_t n = recv(mFd, buf.data(), buf.size(), 0);
    if (n <= 0) {
      mIsClosed = true;
      return false;
    }
    mBuffer.append(buf.data(), static_cast<std::size_t>(n));
    return true;
  }
  const std::string& Buffer() const { return mBuffer; }

private:
  std::optional<Message> ReadChunks(Message message, Clock::time_point until)
  {
    for (;;) {
      std::size_t end = 0;
      while ((end = mBuffer.find("\r\n")) == std::string::npos) {
        if (!Fill(until)) {
          return std::nullopt;
        }
      }
      const std::size_t n = static_cast<std::size_t>(
        std::strtoull(mBuffer.c_str(), nullptr, 16));
      while (mBuffer.size() < end + 2 + n + 2) {
        if (!Fill(until)) {
          return std::nullopt;
        }
      }
      message.body += mBuffer.substr(end + 2, n);
      mBuffer.erase(0, end + 2 + n + 2);
      if (n == 0) {
        return message;
      }
    }
  }

  int mFd;
  std::string mBuffer;
  bool mIsClosed = false;
  std::size_t mPartial = 0;
};

/** Accepts connections and runs a function for each in a thread. */
class Server
{
public:
  using Serve = std::function<void(Connection&)>;

  Server(const std::string& ip, int port, Serve serve)
    : mFd(Listen(ip, port))
    , mServe(std::move(serve))
  {
    if (mFd < 0) {
      std::fprintf(stderr, "can't listen at %s:%d\n", ip.c_str(), port);
      std::exit(2);
    }
    mPort = PortOf(mFd);
    std::thread([this] { Run(); }).detach();
  }
  int Port() const { return mPort; }

private:
  void Run()
  {
    for (;;) {
      const int fd = accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      std::thread([this, fd] {
        Connection connection(fd);
        mServe(connection);
      }).detach();
    }
  }

  int mFd;
  int mPort = 0;
  Serve mServe;
};

/** The platform's store: lists, stale lists and watches. */
class Store
{
public:
  explicit Store(const std::string& ip)
    : mServer(ip, 0, [this](Connection& it) { Serve(it); })
  {
  }
  int Port() const { return mServer.Port(); }
  void Put(const std::string& kind, const std::string& name,
           const std::string& spec)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    ++mRevision;
    mObjects[kind][name] = { mRevision, spec, false };
    mChanged.notify_all();
  }
  void Remove(const std::string& kind, const std::string& name)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mObjects[kind].count(name) != 0) {
      mObjects[kind][name].revision = ++mRevision;
      mObjects[kind][name].isDeleted = true;
      mChanged.notify_all();
    }
  }

private:
  struct Object
  {
    long revision = 0;
    std::string spec;
    bool isDeleted = false;
  };

  static std::string Text(const std::string& name, const Object& object)
  {
    return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" +
           std::to_string(object.revision) +
           ",\"created_rev\":1,\"finalizers\":[],\"deleting\":false},"
           "\"spec\":" +
           object.spec + ",\"status\":null}";
  }
  static long Query(const std::string& target, const std::string& key)
  {
    const std::size_t n = target.find(key + "=");
    return n == std::string::npos
             ? -1
             : std::atol(target.c_str() + n + key.size() + 1);
  }
  std::string Respond(const std::string& target)
  {
    const std::string prefix = "/v1/objects/";
    const std::string kind = target.substr(
      prefix.size(), target.find('?') == std::string::npos
                       ? std::string::npos
                       : target.find('?') - prefix.size());
    const long since = Query(target, "watch");
    std::unique_lock<std::mutex> lock(mMutex);
    const auto isNews = [&] {
      for (const auto& [name, object] : mObjects[kind]) {
        if (object.revision > since) {
          return true;
        }
      }
      return false;
    };
    std::string out;
    if (since >= 0) {
      mChanged.wait_for(lock, Millis(Query(target, "wait_ms")), isNews);
      for (const auto& [name, object] : mObjects[kind]) {
        if (object.revision > since) {
          out += (out.empty() ? "" : ",") +
                 ("{\"deleted\":" +
                  std::string(object.isDeleted ? "true" : "false") +
                  ",\"object\":" + Text(name, object) + "}");
        }
      }
      return "{\"events\":[" + out +
             "],\"as_of\":" + std::to_string(mRevision) + "}";
    }
    for (const auto& [name, object] : mObjects[kind]) {
      if (!object.isDeleted) {
        out += (out.empty() ? "" : ",") + Text(name, object);
      }
    }
    return "{\"items\":[" + out +
           "],\"has_more\":false,\"as_of\":" + std::to_string(mRevision) + "}";
  }
  void Serve(Connection& connection)
  {
    while (const auto request = connection.Read(600000)) {
      const std::string body = Respond(request->Target());
      if (!connection.Send("HTTP/1.1 200 OK\r\nContent-Type: "
                           "application/json\r\nStore-Era: 1\r\n"
                           "Content-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  long mRevision = 10;
  std::map<std::string, std::map<std::string, Object>> mObjects;
  Server mServer;
};

/** One machine of the system, and its process. */
struct Host
{
  std::string name;
  std::string ip;
  std::string zone;
  std::string region;
  pid_t pid = -1;
};

/** A small deployment: a store and some hosts. */
class Deployment
{
public:
  Deployment(std::vector<Host> hosts, double graceS = 6)
    : mHosts(std::move(hosts))
    , mStore("127.77.9.7")
    , mGrace(graceS)
  {
    std::vector<std::string> ips;
    for (const Host& it : mHosts) {
      ips.push_back(it.ip);
    }
    mBase = FreePorts(ips, 20);
    const char* folder = std::getenv("CASE_TEMP");
    mFolder = folder == nullptr ? "." : folder;
  }
  ~Deployment() { Clean(); }
  /** Ends all processes and exits, without waiting for the threads of the
   * stand-ins. */
  [[noreturn]] void Exit(int code)
  {
    Clean();
    std::fflush(nullptr);
    _exit(code);
  }
  Store& TheStore() { return mStore; }
  std::vector<Host>& Hosts() { return mHosts; }
  int FrontPort() const { return mBase; }
  int ReadyPort() const { return mBase + 1; }
  int ControlPort() const { return mBase + 2; }
  int DirectoryPort() const { return mBase + 3; }
  std::string LogOf(const Host& host) const
  {
    return mFolder + "/" + host.name + ".log";
  }

  /** Starts the process with the command of the deploy file. */
  void StartHost(Host& host)
  {
    const std::string settings = mFolder + "/" + host.name + ".json";
    std::ofstream(settings) << Settings(host);
    const std::string log = LogOf(host);
    host.pid = fork();
    if (host.pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // no process outlives the case
      setenv("AUBURNMUX_CONFIG", settings.c_str(), 1);
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      execl("target/apps/auburnmuxd/auburnmuxd",
            "target/apps/auburnmuxd/auburnmuxd", "--on-platform", nullptr);
      _exit(127);
    }
  }
  void StartAll()
  {
    for (Host& it : mHosts) {
      StartHost(it);
    }
  }
  void Kill(Host& host)
  {
    if (host.pid > 0) {
      kill(host.pid, SIGKILL);
      waitpid(host.pid, nullptr, 0);
      host.pid = -1;
    }
  }
  /** Returns whether all hosts became ready within the time. */
  bool AwaitReady(int timeoutMs)
  {
    const auto until = Clock::now() + Millis(timeoutMs);
    for (const Host& it : mHosts) {
      for (;;) {
        if (Clock::now() > until) {
          return false;
        }
        const auto connection = Connection::To(it.ip, ReadyPort());
        if (connection) {
          connection->Send("GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
          const auto answer = connection->Read(500);
          if (answer && answer->Status() == 200) {
            break;
          }
        }
        Sleep(50);
      }
    }
    return true;
  }

private:
  void Clean()
  {
    for (Host& it : mHosts) {
      Kill(it);
      std::remove((mFolder + "/" + it.name + ".json").c_str());
      std::remove((mFolder + "/" + it.name + ".log").c_str());
    }
  }
  std::string Settings(const Host& host) const
  {
    std::string zones;
    std::string seeds;
    for (const Host& it : mHosts) {
      zones += (zones.empty() ? "" : ",") +
               ("\"" + it.zone + "\":\"" + it.region + "\"");
      seeds += (seeds.empty() ? "" : ",") +
               ("\"" + it.ip + ":" + std::to_string(ControlPort()) + "\"");
    }
    const auto at = [&](int port) {
      return "\"" + host.ip + ":" + std::to_string(port) + "\"";
    };
    std::ostringstream out;
    out << "{\"node_name\":\"" << host.name
        << "\",\"role\":\"entry\",\"machine_class\":\"edge\",\"serves\":"
           "[\"edge\",\"control\",\"directory\"],\"ip\":\""
        << host.ip << "\",\"zone\":\"" << host.zone << "\",\"region\":\""
        << host.region << "\",\"zones\":{" << zones
        << "},\"listen\":{\"front\":" << at(FrontPort())
        << ",\"ready\":" << at(ReadyPort()) << ",\"control\":"
        << at(ControlPort()) << ",\"directory\":" << at(DirectoryPort())
        << "},\"internal_ports\":[" << mBase + 4 << "," << mBase + 19
        << "],\"seeds\":[" << seeds
        << "],\"first_start\":true,\"loss_counts\":false,\"limits\":{"
           "\"cpu_share\":0.3,\"cores\":1,\"memory_mb\":390,\"max_fds\":6150,"
           "\"link_mbps\":1500.0,\"disk_mb\":0},\"data_dir\":null,"
           "\"discovery\":\"platform\",\"entry\":\"directory\","
           "\"heartbeat_ms\":1500,\"contracts\":[\"base\",\"drain\","
           "\"config\",\"cost\",\"retry\",\"recover\",\"places\","
           "\"platform\"],\"fault_tolerance\":{\"machines\":1,\"zones\":1,"
           "\"regions\":1},\"bounds\":{\"seed_lag_s\":3,\"reuse_after_s\":2,"
           "\"stable_window_ms\":3000,\"ack_ms\":4000,\"catch_up_s\":4,"
           "\"drain_ms\":2500,\"grace_s\":"
        << mGrace
        << ",\"loss_slack_ms\":200,\"config_apply_ms\":2500,"
           "\"regression_bound_ms\":250,\"max_stretch_ms\":5000,"
           "\"budget_ratio\":0.2,\"budget_window_s\":10,\"budget_burst\":64,"
           "\"cold_over\":1.5,\"cold_slack\":5,\"evacuate_ms\":5000,"
           "\"recover_s\":15,\"ttl_max_s\":5,\"max_shift\":0.15},"
           "\"platform\":{\"address\":\"127.77.9.7:"
        << mStore.Port()
        << "\",\"form\":\"objects\",\"writes_per_s\":400,\"reads_per_s\":"
           "2000,\"history_s\":20,\"value_bytes\":1048576,\"ttl_min_ms\":1000}"
           "}";
    return out.str();
  }

  std::vector<Host> mHosts;
  Store mStore;
  double mGrace;
  int mBase = 0;
  std::string mFolder;
};

/** An entry of kind `servers`. */
inline std::string ServerEntry(const std::string& service,
                               const std::string& address,
                               const std::string& zone, int slots)
{
  return "{\"service\":\"" + service + "\",\"address\":\"" + address +
         "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" +
         std::to_string(slots) +
         ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":4,"
         "\"born\":1765000000000}";
}

/** A route of a configuration. */
inline std::string Route(const std::string& name, const std::string& host,
                         const std::string& prefix, const std::string& kind,
                         const std::string& service, int timeoutMs,
                         int maxAttempts = 2)
{
  return "\"" + name + "\":{\"host\":\"" + host + "\",\"path_prefix\":\"" +
         prefix + "\",\"kind\":\"" + kind +
         "\",\"timeout_ms\":" + std::to_string(timeoutMs) +
         ",\"target_latency_ms\":500,\"priority\":1,\"service\":\"" + service +
         "\",\"max_attempts\":" + std::to_string(maxAttempts) +
         ",\"allow_anonymous\":false,\"session_affinity\":false,"
         "\"allowed_regions\":[]}";
}

/** A service of a configuration. */
inline std::string Service(const std::string& name)
{
  return "\"" + name +
         "\":{\"health_path\":\"/healthz\",\"max_connections\":390,"
         "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,"
         "\"cold_per_s\":0}";
}

inline std::string Configuration(int version, const std::string& routes,
                                 const std::string& services,
                                 int headerTimeoutMs = 3000)
{
  return "{\"version\":" + std::to_string(version) + ",\"routes\":{" + routes +
         "},\"services\":{" + services +
         "},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
         "67108864,\"header_timeout_ms\":" +
         std::to_string(headerTimeoutMs) + ",\"idle_timeout_ms\":15000}}";
}

} // namespace lab
