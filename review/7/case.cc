// A client sends three idempotent requests on one connection, the second and
// the third before the first is answered. The backend answers the second and
// the third at once and works on the first for 6.6 s. 0.4 s after the requests
// the machine is stopped in order, with a grace of 6 s.

#include "harness.hpp"

using namespace review;

namespace {

constexpr int kSlowWorkMs = 6600;
constexpr int kBudgetMs = 12000;

std::string Get(const std::string& aPath, const std::string& aId)
{
  return "GET " + aPath +
         " HTTP/1.1\r\nHost: portal.example\r\nRequest-Id: " + aId +
         "\r\nDeadline-Ms: " + std::to_string(kBudgetMs) + "\r\n\r\n";
}

} // namespace

int main(int aCount, char** aValues)
{
  if (aCount < 3) {
    return 2;
  }
  Log().Open(aValues[2]);
  std::mutex mutex;
  std::map<std::string, long> arrivals;
  std::map<std::string, long> ends;

  Store store("127.41.0.9");
  Listener backend(
    { "127.41.1.1", FreePort("127.41.1.1") }, [&](Connection& aConnection) {
      while (const auto head = aConnection.ReadHead()) {
        const std::string id = head->Get("request-id");
        Log().Line("backend: runs " + id + ", " + head->mMethod + ' ' +
                   head->mTarget);
        {
          const std::lock_guard<std::mutex> lock(mutex);
          arrivals[id] = Log().Now();
        }
        if (head->mTarget.find("slow") != std::string::npos) {
          // Drops the request when its connection closes.
          pollfd it{ aConnection.Socket(), POLLIN, 0 };
          if (poll(&it, 1, kSlowWorkMs) != 0) {
            Log().Line("backend: connection closed while it works on " + id);
            return;
          }
        }
        const std::string body = "answer to " + id;
        aConnection.Write("HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                          "\r\nResponse-Signature: sig-" + id +
                          "\r\nBackend-Load: 0,0,9,100\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body);
        Log().Line("backend: has answered " + id + " with 200");
        const std::lock_guard<std::mutex> lock(mutex);
        ends[id] = Log().Now();
      }
    });
  store.Put("config", "main",
            { { "version", 3 },
              { "routes",
                { { "prices",
                    Route("/prices/", "idempotent", "tariffs", kBudgetMs,
                          1) } } },
              { "services", { { "tariffs", Service() } } },
              { "limits", Limits() } });
  store.Put("servers", "i-1",
            Server("tariffs", backend.At(), "addis-a", UnixMs()));

  Machine machine("edge-addis-a-1", "127.41.0.1", aValues[1],
                  FreePorts("127.41.0.1"));
  machine.Start(machine.Settings("addis-a", "addis", Zones(),
                                 { machine.Control().Text() }, store.At()));
  machine.WaitUntilReady();
  Sleep(4000); // calm for longer than stable_window_ms

  auto client = Connect(machine.Front());
  if (!client) {
    GiveUp("no connection to the machine");
  }
  client->Write(Get("/prices/slow", "A"));
  Log().Line("client: sent A");
  Sleep(50);
  client->Write(Get("/prices/b", "B") + Get("/prices/c", "C"));
  Log().Line("client: sent B and C on the same connection");
  Sleep(350);
  long stoppedAt = 0;
  if (HasTrouble()) {
    machine.Signal(SIGTERM);
    stoppedAt = Log().Now();
  }

  std::set<std::string> answered;
  for (int i = 0; i < 3; ++i) {
    const auto head = client->ReadHead(kBudgetMs);
    const auto body = head ? client->ReadBody(*head) : std::nullopt;
    if (!body) {
      Log().Line(client->HasTimedOut() ? "client: no answer in time"
                                       : "client: the connection is closed");
      break;
    }
    const std::string id(1, "ABC"[i]);
    answered.insert(id);
    Log().Line("client: answer " + std::to_string(head->mStatus) + " to " + id +
               ", signature '" + head->Get("response-signature") + "'");
  }
  const long closedAt = Log().Now();
  Sleep(500);
  machine.HasEnded();

  const std::lock_guard<std::mutex> lock(mutex);
  if (arrivals.size() < 3 || ends.count("B") == 0 || ends.count("C") == 0) {
    GiveUp("the requests did not reach the backend as planned");
  }
  std::vector<std::string> breaches;
  for (const char* id : { "B", "C" }) {
    // A itself is excused: its backend is at work in the last sixth of the
    // grace.
    if (answered.count(id) == 0 &&
        (stoppedAt == 0 || ends[id] <= stoppedAt)) {
      breaches.push_back(
        std::string("LOST: ") + id + " was read, passed on and answered by its "
        "backend at " + std::to_string(ends[id]) +
        " ms; its connection was closed without an answer at " +
        std::to_string(closedAt) + " ms");
    }
  }
  Finish(breaches);
}
