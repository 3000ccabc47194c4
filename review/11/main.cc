// Clients send whole requests whose head arrives in two pieces. Checks that
// each is answered by its route's timeout and half a second (CONFIG).
#include "../standins-3/lab.hpp"

using namespace lab;

namespace {

constexpr int kRouteTimeoutMs = 500;
constexpr int kHeaderTimeoutMs = 3000;
constexpr int kDeadlineMs = 4000;
constexpr int kSlackMs = 500;
/** Time between the two pieces of a head; a sixtieth of what the limit allows.
 */
constexpr int kPauseMs = 50;
constexpr int kClients = 8;
constexpr int kRequestsPerClient = 8;
/** Sizes of the second piece: 1, the last byte of the head, to 4, the empty
 * line and the end of the line before. */
constexpr int kMaxTail = 4;

struct Result
{
  int sent = 0;
  int late = 0;
  int withoutAnswer = 0;
};

} // namespace

int main(int argc, char** argv)
{
  Start();
  Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
  Deployment deployment({ { "edge-a", "127.77.0.10", "north-a", "north" },
                          { "edge-b", "127.77.0.11", "north-b", "north" } });
  std::atomic<int> runs{ 0 };
  const auto serve = [&](Connection& connection) {
    while (const auto request = connection.Read(60000)) {
      const std::string id = request->Header("request-id");
      if (!id.empty()) {
        ++runs;
        record.Line("backend runs %s", id.c_str());
        Sleep(20);
      }
      const std::string body = "answer to " + id;
      connection.Send(
        "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
        "\r\nResponse-Signature: 3e1b.07\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
    }
  };
  Server one("127.77.1.1", 0, serve);
  Server two("127.77.1.2", 0, serve);
  Store& store = deployment.TheStore();
  store.Put("servers", "i-1",
            ServerEntry("status", "127.77.1.1:" + std::to_string(one.Port()),
                        "north-a", 9));
  store.Put("servers", "i-2",
            ServerEntry("status", "127.77.1.2:" + std::to_string(two.Port()),
                        "north-b", 9));
  store.Put("config", "main",
            Configuration(7,
                          Route("r-1", "portal.example", "/status/",
                                "idempotent", "status", kRouteTimeoutMs),
                          Service("status"), kHeaderTimeoutMs));
  deployment.StartAll();
  if (!deployment.AwaitReady(10000)) {
    record.Line("the hosts did not become ready");
    deployment.Exit(2);
  }
  Sleep(3500); // the stable window
  std::mutex mutex;
  std::map<int, Result> results;
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&, c] {
      const Host& host = deployment.Hosts()[static_cast<std::size_t>(c % 2)];
      std::unique_ptr<Connection> connection;
      for (int i = 0; i < kRequestsPerClient; ++i) {
        const int tail = 1 + (c + i) % kMaxTail;
        char id[32];
        std::snprintf(id, sizeof id, "9c41d07be2a3%02x%02x", c, i);
        const std::string head =
          "GET /status/2f HTTP/1.1\r\nHost: portal.example\r\nRequest-Id: " +
          std::string(id) +
          "\r\nDeadline-Ms: " + std::to_string(kDeadlineMs) + "\r\n\r\n";
        if (!connection) {
          connection = Connection::To(host.ip, deployment.FrontPort());
        }
        if (!connection) {
          record.Line("client %d cannot connect", c);
          deployment.Exit(2);
        }
        const std::size_t cut = head.size() - static_cast<std::size_t>(tail);
        if (HasTrouble()) {
          connection->Send(head.substr(0, cut));
          Sleep(kPauseMs);
          connection->Send(head.substr(cut));
        } else {
          connection->Send(head);
        }
        const double sent = Now();
        record.Line("client %d sent all of %s, last %d bytes apart", c, id,
                    HasTrouble() ? tail : 0);
        const auto answer = connection->Read(kDeadlineMs);
        const double ms = (Now() - sent) * 1000;
        record.Line("client %d %s: %s after %.0f ms", c, id,
                    answer ? answer->start.c_str() : "no answer", ms);
        const std::lock_guard<std::mutex> lock(mutex);
        Result& result = results[HasTrouble() ? tail : 0];
        ++result.sent;
        result.late += ms > kRouteTimeoutMs ? 1 : 0;
        result.withoutAnswer += ms > kRouteTimeoutMs + kSlackMs ? 1 : 0;
        if (!answer || answer->Status() != 200) {
          connection.reset();
        }
      }
    });
  }
  for (std::thread& it : clients) {
    it.join();
  }
  Result sum;
  for (const auto& [tail, it] : results) {
    record.Line("last %d bytes apart: %d sent, %d past the route's timeout, "
                "%d without an answer %d ms after it",
                tail, it.sent, it.late, it.withoutAnswer, kSlackMs);
    sum.sent += it.sent;
    sum.late += it.late;
    sum.withoutAnswer += it.withoutAnswer;
  }
  // CONFIG: of the requests that last longer than timeout_ms, eight or more,
  // and over a quarter, have no final answer 0.5 s after it.
  const bool isBroken = sum.withoutAnswer >= 8 && 4 * sum.withoutAnswer > sum.late;
  record.Line("sent %d, ran %d, past the timeout %d, without an answer %d: "
              "CONFIG %s",
              sum.sent, runs.load(), sum.late, sum.withoutAnswer,
              isBroken ? "broken" : "held");
  std::printf("sent %d, ran %d, without an answer in time %d: CONFIG %s\n",
              sum.sent, runs.load(), sum.withoutAnswer,
              isBroken ? "broken" : "held");
  deployment.Exit(isBroken ? 1 : 0);
}
