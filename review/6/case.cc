// 100 clients send one request each, half of them not idempotent, to a service
// of two backends. One of the two is faulty: in place of two of its answers,
// about 2 in 50, it sends bytes that bear neither the request's id nor a
// receipt: once for an idempotent request, once for one that it has run and
// that isn't idempotent.

#include "harness.hpp"

using namespace review;

namespace {

constexpr int kClients = 100;
constexpr int kWorkMs = 300;
constexpr const char* kForeignSuccess =
  "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 20\r\n\r\n"
  "<h1>It works!</h1>\r\n";
constexpr const char* kForeignFailure =
  "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

} // namespace

int main(int aCount, char** aValues)
{
  if (aCount < 3) {
    return 2;
  }
  Log().Open(aValues[2]);
  std::mutex mutex;
  std::map<std::string, int> runs;
  std::set<std::string> spoiled;

  Store store("127.44.0.9");
  const auto makeBackend = [&](const std::string& aIp, bool aIsFaulty) {
    return std::make_unique<Listener>(
      Address{ aIp, FreePort(aIp) }, [&, aIp, aIsFaulty](Connection& aConnection) {
        static std::atomic<bool> sHasSpoiledCheck{ false };
        static std::atomic<bool> sHasSpoiledTray{ false };
        while (const auto head = aConnection.ReadHead()) {
          if (!aConnection.ReadBody(*head)) {
            return;
          }
          const std::string id = head->Get("request-id");
          {
            const std::lock_guard<std::mutex> lock(mutex);
            ++runs[id];
          }
          Sleep(kWorkMs);
          const bool isCheck = head->mMethod == "GET";
          std::atomic<bool>& hasSpoiled =
            isCheck ? sHasSpoiledCheck : sHasSpoiledTray;
          if (aIsFaulty && HasTrouble() && !hasSpoiled.exchange(true)) {
            {
              const std::lock_guard<std::mutex> lock(mutex);
              spoiled.insert(id);
            }
            Log().Line("backend " + aIp + ": spoils its answer to " + id);
            aConnection.Write(isCheck ? kForeignSuccess : kForeignFailure);
            return;
          }
          const std::string body = "answer to " + id;
          aConnection.Write("HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                            "\r\nResponse-Signature: sig-" + id +
                            "\r\nBackend-Load: 20,0,60,100\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body);
        }
      });
  };
  const auto faulty = makeBackend("127.44.1.1", true);
  const auto sound = makeBackend("127.44.1.2", false);
  store.Put(
    "config", "main",
    { { "version", 3 },
      { "routes",
        { { "checks", Route("/checks/", "idempotent", "rota-desk", 3000, 3) },
          { "trays",
            Route("/trays/", "non_idempotent", "rota-desk", 4000, 3) } } },
      { "services", { { "rota-desk", Service() } } },
      { "limits", Limits() } });
  store.Put("servers", "i-1",
            Server("rota-desk", faulty->At(), "addis-a", UnixMs(), "ready", 60));
  store.Put("servers", "i-2",
            Server("rota-desk", sound->At(), "addis-a", UnixMs(), "ready", 60));

  Machine machine("edge-addis-a-1", "127.44.0.1", aValues[1],
                  FreePorts("127.44.0.1"));
  machine.Start(machine.Settings("addis-a", "addis", Zones(),
                                 { machine.Control().Text() }, store.At()));
  machine.WaitUntilReady();
  Sleep(4000); // calm for longer than stable_window_ms

  std::vector<std::string> breaches;
  std::atomic<int> succeeded{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Sleep(10 * i);
      const bool isOnce = i % 2 == 1;
      const std::string id = (isOnce ? "tray-" : "check-") + std::to_string(i);
      const auto client = Connect(machine.Front());
      if (!client) {
        return;
      }
      client->Write((isOnce ? "POST /trays/" : "GET /checks/") + id +
                    " HTTP/1.1\r\nHost: portal.example\r\nRequest-Id: " + id +
                    "\r\nDeadline-Ms: 3000\r\n" +
                    (isOnce ? "Content-Length: 5\r\n\r\ntrays" : "\r\n"));
      const auto head = client->ReadHead(5000);
      const auto body = head ? client->ReadBody(*head) : std::nullopt;
      const std::lock_guard<std::mutex> lock(mutex);
      if (!body) {
        Log().Line("client: no answer to " + id);
        return;
      }
      const bool isSuccess = head->mStatus / 100 == 2;
      succeeded += isSuccess;
      const bool isOwn = head->Get("response-signature") == "sig-" + id &&
                         *body == "answer to " + id;
      if (!isSuccess || !isOwn) {
        Log().Line("client: answer " + std::to_string(head->mStatus) + " to " +
                   id + ", signature '" + head->Get("response-signature") +
                   "', body '" + body->substr(0, 30) + "'");
      }
      if (isOnce && head->mStatus == 503 && runs[id] > 0) {
        breaches.push_back("REFUSED: " + id +
                           " was answered 503, and a backend has run it");
      }
      if (isSuccess && !isOwn) {
        breaches.push_back("MIXED: the client of " + id + " got a " +
                           std::to_string(head->mStatus) +
                           " without its backend's receipt");
      }
    });
  }
  for (std::thread& it : clients) {
    it.join();
  }
  const std::lock_guard<std::mutex> lock(mutex);
  Log().Line(std::to_string(succeeded) + " of " + std::to_string(kClients) +
             " requests got a 2xx; " + std::to_string(spoiled.size()) +
             " answers were spoiled");
  if (succeeded < kClients / 2 || (HasTrouble() && spoiled.empty())) {
    GiveUp("too few requests were served, or no answer was spoiled");
  }
  Finish(breaches);
}
