// One caller sends a lookup whose run crashes its backend one second after it
// began, later than the route's timeout. Four of ten backends go on with a
// request whose connection was closed. Checks that the lookup stops reaching
// backends after its third crash (BUDGET), and counts the vouchers that are
// lost in these crashes.
#include "../standins-3/lab.hpp"
#include <set>

using namespace lab;

namespace {

constexpr int kBackends = 10;
/** Backends that don't drop a request when its connection closes. */
constexpr int kPersistent = 4;
constexpr int kSlots = 9;
constexpr int kCrashAfterMs = 1000;
constexpr int kDownMs = 3000;
constexpr int kLookupTimeoutMs = 800;
constexpr int kVoucherTimeoutMs = 2000;
constexpr int kVoucherWorkMs = 200;
constexpr int kVoucherEveryMs = 70;
constexpr int kLookupEveryMs = 5000;
constexpr int kDeadlineMs = 2000;
constexpr double kStableWindowS = 3;
constexpr double kTrafficS = 55;
/** Retries after the third crash that may reach backends. */
constexpr int kAllowed = 3;

std::mutex gMutex;
std::vector<double> gCrashes;         // times
std::map<std::string, double> gLookups; // first arrival by client attempt
std::map<std::string, bool> gVouchers; // ran, whether to its end

/** A backend whose process can crash and start again as a new lifetime. */
class Backend
{
public:
  Backend(Store& store, Record& record, int number)
    : mStore(store)
    , mRecord(record)
    , mNumber(number)
    , mIp("127.77.1." + std::to_string(number + 1))
  {
    Start();
  }

private:
  struct Life
  {
    int number = 0;
    std::string id;
    int listener = -1;
    std::atomic<bool> isUp{ true };
    std::mutex mutex;
    std::set<int> connections;
  };

  void Start()
  {
    auto life = std::make_shared<Life>();
    life->number = ++mLives;
    life->id = "i-" + std::to_string(mNumber) + "-" + std::to_string(mLives);
    life->listener = Listen(mIp, mPort);
    if (life->listener < 0) {
      mRecord.Line("backend %d cannot listen", mNumber);
      return;
    }
    mPort = PortOf(life->listener);
    std::thread([this, life] { Accept(life); }).detach();
    const std::string address = mIp + ":" + std::to_string(mPort);
    std::string entry = ServerEntry(
      "vouchers", address, mNumber % 2 == 0 ? "north-a" : "north-b", kSlots);
    const std::string born = "1765000000000";
    entry.replace(entry.find(born), born.size(),
                  std::to_string(1765000000000 + life->number * 10000));
    mStore.Put("servers", life->id, entry);
  }
  void Crash(const std::shared_ptr<Life>& life, const std::string& id)
  {
    if (!life->isUp.exchange(false)) {
      return;
    }
    {
      const std::lock_guard<std::mutex> lock(gMutex);
      gCrashes.push_back(Now());
    }
    mRecord.Line("%s crashes by %s", life->id.c_str(), id.c_str());
    shutdown(life->listener, SHUT_RDWR);
    close(life->listener);
    {
      const std::lock_guard<std::mutex> lock(life->mutex);
      for (const int fd : life->connections) {
        shutdown(fd, SHUT_RDWR);
      }
    }
    std::thread([this, life] {
      Sleep(kDownMs);
      Start();
      Sleep(4500 - kDownMs); // three liveness report intervals of silence
      mStore.Remove("servers", life->id);
    }).detach();
  }
  void Accept(const std::shared_ptr<Life>& life)
  {
    for (;;) {
      const int fd = accept4(life->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      {
        const std::lock_guard<std::mutex> lock(life->mutex);
        life->connections.insert(fd);
      }
      std::thread([this, life, fd] {
        Connection connection(fd);
        Serve(life, connection);
        const std::lock_guard<std::mutex> lock(life->mutex);
        life->connections.erase(fd);
      }).detach();
    }
  }
  /** Works for the time. Returns false if the connection has closed meanwhile
   * and this backend drops such a request, or if it has crashed. */
  bool Work(const std::shared_ptr<Life>& life, Connection& connection, int ms)
  {
    const bool isPersistent = mNumber < kPersistent;
    const auto until = Clock::now() + Millis(ms);
    while (Clock::now() < until) {
      if (!life->isUp) {
        return false;
      }
      char byte = 0;
      const bool isClosed =
        recv(connection.Fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
      if (isClosed && !isPersistent) {
        return false;
      }
      Sleep(5);
    }
    return life->isUp;
  }
  void Serve(const std::shared_ptr<Life>& life, Connection& connection)
  {
    while (const auto request = connection.Read(60000)) {
      if (!life->isUp) {
        return;
      }
      const std::string id = request->Header("request-id");
      const std::string expected = request->Header("expect-instance");
      std::string head = "HTTP/1.1 200 OK\r\n";
      std::string body;
      if (id.empty()) {
        head += "Instance-Id: " + life->id + "\r\n"; // health check
      } else if (!expected.empty() && expected != life->id) {
        head = "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n"
               "Request-Id: " +
               id + "\r\n";
      } else {
        const bool isLookup = request->Target() == "/lookup/17";
        {
          const std::lock_guard<std::mutex> lock(gMutex);
          if (isLookup) {
            gLookups.emplace(id, Now());
          } else {
            gVouchers[id] = false;
          }
        }
        mRecord.Line("%s runs %s of %s", life->id.c_str(),
                     isLookup ? "lookup" : "voucher", id.c_str());
        if (!Work(life, connection,
                  isLookup ? kCrashAfterMs : kVoucherWorkMs)) {
          if (isLookup && life->isUp) {
            mRecord.Line("%s drops lookup %s, its connection has closed",
                         life->id.c_str(), id.c_str());
          }
          return;
        }
        if (isLookup) {
          Crash(life, id);
          return;
        }
        {
          const std::lock_guard<std::mutex> lock(gMutex);
          gVouchers[id] = true;
        }
        body = "voucher " + id;
        head += "Request-Id: " + id + "\r\nResponse-Signature: 3e1b.07\r\n";
      }
      if (!connection.Send(head + "Content-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  Store& mStore;
  Record& mRecord;
  int mNumber;
  std::string mIp;
  int mPort = 0;
  int mLives = 0;
};

std::string RequestText(const std::string& method, const std::string& target,
                        const std::string& id)
{
  return method + " " + target +
         " HTTP/1.1\r\nHost: portal.example\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: " + std::to_string(kDeadlineMs) +
         (method == "POST" ? "\r\nContent-Length: 4\r\n\r\nform"
                           : "\r\n\r\n");
}

} // namespace

int main(int argc, char** argv)
{
  Start();
  Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
  Deployment deployment({ { "edge-a", "127.77.0.10", "north-a", "north" },
                          { "edge-b", "127.77.0.11", "north-b", "north" } });
  Store& store = deployment.TheStore();
  std::vector<std::unique_ptr<Backend>> backends;
  for (int i = 0; i < kBackends; ++i) {
    backends.push_back(std::make_unique<Backend>(store, record, i));
  }
  store.Put("config", "main",
            Configuration(7,
                          Route("r-1", "portal.example", "/voucher/",
                                "non_idempotent", "vouchers",
                                kVoucherTimeoutMs) +
                            "," +
                            Route("r-2", "portal.example", "/lookup/",
                                  "idempotent", "vouchers", kLookupTimeoutMs),
                          Service("vouchers")));
  deployment.StartAll();
  if (!deployment.AwaitReady(10000)) {
    record.Line("the hosts did not become ready");
    deployment.Exit(2);
  }
  Sleep(3500); // the stable window
  const double start = Now();
  std::map<std::string, int> statuses; // of vouchers; 0: none
  std::vector<std::thread> requests;
  std::thread caller([&] {
    if (!HasTrouble()) {
      return;
    }
    for (int visit = 0; Now() - start < kTrafficS; ++visit) {
      const double begin = Now();
      for (int attempt = 0; attempt < 2; ++attempt) {
        char id[32];
        std::snprintf(id, sizeof id, "dead00000000%02x%02x", visit, attempt);
        const Host& host =
          deployment.Hosts()[static_cast<std::size_t>((visit + attempt) % 2)];
        const auto connection = Connection::To(host.ip, deployment.FrontPort());
        if (!connection) {
          continue;
        }
        record.Line("caller sends lookup %s", id);
        connection->Send(RequestText("GET", "/lookup/17", id));
        const auto answer = connection->Read(kDeadlineMs);
        record.Line("caller %s: %s", id,
                    answer ? answer->start.c_str() : "no answer");
        if (answer && answer->Status() < 500 && answer->Status() != 429) {
          break;
        }
      }
      Sleep(kLookupEveryMs - static_cast<int>((Now() - begin) * 1000));
    }
  });
  for (int n = 0; Now() - start < kTrafficS; ++n) {
    requests.emplace_back([&, n] {
      char id[32];
      std::snprintf(id, sizeof id, "9c41d07be2a3%04x", n);
      const Host& host = deployment.Hosts()[static_cast<std::size_t>(n % 2)];
      const auto connection = Connection::To(host.ip, deployment.FrontPort());
      int status = 0;
      if (connection) {
        connection->Send(RequestText("POST", "/voucher/issue", id));
        const auto answer = connection->Read(kDeadlineMs + 500);
        status = answer ? answer->Status() : 0;
      }
      if (status != 200) {
        record.Line("voucher %s: status %d", id, status);
      }
      const std::lock_guard<std::mutex> lock(gMutex);
      statuses[id] = status;
    });
    Sleep(kVoucherEveryMs);
  }
  caller.join();
  for (std::thread& it : requests) {
    it.join();
  }
  const std::lock_guard<std::mutex> lock(gMutex);
  int late = 0;
  if (gCrashes.size() >= 3) {
    for (const auto& [id, time] : gLookups) {
      late += time > gCrashes[2] + kStableWindowS ? 1 : 0;
    }
  }
  int served = 0;
  int lost = 0; // began to run, and the client has no success
  for (const auto& [id, status] : statuses) {
    served += status == 200 ? 1 : 0;
    lost += status != 200 && gVouchers.count(id) != 0 ? 1 : 0;
  }
  const bool isBroken = late > kAllowed;
  char text[300];
  std::snprintf(text, sizeof text,
                "lookup: %zu attempts at backends, %zu crashes, %d attempts later "
                "than 3 s after the third crash; vouchers: %zu sent, %d served, %d lost "
                "while they ran: BUDGET %s",
                gLookups.size(), gCrashes.size(), late, statuses.size(),
                served, lost, isBroken ? "broken" : "held");
  record.Line("%s", text);
  std::printf("%s\n", text);
  deployment.Exit(statuses.size() > 0 && served * 2 < int(statuses.size()) ? 2
                  : isBroken                                               ? 1
                                                                           : 0);
}
