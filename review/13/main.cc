// Clients that read slowly send a further idempotent request before the first
// has been answered. The host gets SIGTERM while a backend is at work on the
// first one. Checks that each answer to a first request, which was passed on
// before the SIGTERM, is complete (LOST).
#include "../standins-3/lab.hpp"
#include <set>

using namespace lab;

namespace {

constexpr int kClients = 12;
constexpr int kWorkMs = 500;
constexpr int kTermAfterMs = 150;    // after the first request
constexpr int kFurtherAfterMs = 300; // the further request
constexpr int kRouteTimeoutMs = 8000;
constexpr int kDeadlineMs = 8000;
constexpr double kGraceS = 6;
constexpr int kAnswerBytes = 30000;
/** A client reads 7 KB a second: the answer takes it about 4.5 s. */
constexpr int kReadBytes = 2048;
constexpr int kReadEveryMs = 300;
constexpr int kReceiveBuffer = 4096;

} // namespace

int main(int argc, char** argv)
{
  Start();
  Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
  Deployment deployment({ { "edge-a", "127.77.0.10", "north-a", "north" },
                          { "edge-b", "127.77.0.11", "north-b", "north" } },
                        kGraceS);
  std::mutex mutex;
  std::map<std::string, double> answeredAt;
  const auto serve = [&](Connection& connection) {
    while (const auto request = connection.Read(60000)) {
      const std::string id = request->Header("request-id");
      std::string body = "answer to " + id;
      if (!id.empty()) {
        record.Line("backend runs %s", id.c_str());
        Sleep(kWorkMs);
        body.resize(kAnswerBytes, 'x');
      }
      const bool isSent = connection.Send(
        "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
        "\r\nResponse-Signature: 3e1b.07\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
      if (!id.empty()) {
        record.Line("backend has answered %s: %s", id.c_str(),
                    isSent ? "whole" : "connection closed");
        const std::lock_guard<std::mutex> lock(mutex);
        answeredAt[id] = Now();
      }
    }
  };
  Server one("127.77.1.1", 0, serve);
  Server two("127.77.1.2", 0, serve);
  Store& store = deployment.TheStore();
  store.Put("servers", "i-1",
            ServerEntry("status", "127.77.1.1:" + std::to_string(one.Port()),
                        "north-a", 30));
  store.Put("servers", "i-2",
            ServerEntry("status", "127.77.1.2:" + std::to_string(two.Port()),
                        "north-b", 30));
  store.Put("config", "main",
            Configuration(7,
                          Route("r-1", "portal.example", "/status/",
                                "idempotent", "status", kRouteTimeoutMs),
                          Service("status")));
  deployment.StartAll();
  if (!deployment.AwaitReady(10000)) {
    record.Line("the hosts did not become ready");
    deployment.Exit(2);
  }
  Sleep(3500); // the stable window
  Host& host = deployment.Hosts()[1];
  int sent = 0;
  int complete = 0;
  int cut = 0;
  int other = 0;
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&, c] {
      const auto connection =
        Connection::To(host.ip, deployment.FrontPort(), kReceiveBuffer);
      if (!connection) {
        record.Line("client %d cannot connect", c);
        deployment.Exit(2);
      }
      const auto request = [&](int number) {
        char id[32];
        std::snprintf(id, sizeof id, "9c41d07be2a3%02x%02x", c, number);
        connection->Send("GET /status/2f HTTP/1.1\r\nHost: portal.example\r\n"
                         "Request-Id: " +
                         std::string(id) + "\r\nDeadline-Ms: " +
                         std::to_string(kDeadlineMs) + "\r\n\r\n");
        record.Line("client %d sent %s", c, id);
        return std::string(id);
      };
      const std::string id = request(0);
      std::thread further([&] {
        Sleep(kFurtherAfterMs);
        request(1);
      });
      const double start = Now();
      std::size_t head = std::string::npos;
      std::size_t body = 0;
      while (body < kAnswerBytes && Now() - start < kDeadlineMs / 1000.0 &&
             connection->Fill(Clock::now() + Millis(2000), kReadBytes)) {
        Sleep(kReadEveryMs);
        head = connection->Buffer().find("\r\n\r\n");
        body = head == std::string::npos
                 ? 0
                 : connection->Buffer().size() - head - 4;
      }
      further.join();
      const std::string first = connection->Buffer().substr(0, 12);
      const std::lock_guard<std::mutex> lock(mutex);
      record.Line("client %d %s: '%s', %zu of %d bytes of the body, %s, %.2f s "
                  "after the request",
                  c, id.c_str(), first.c_str(), body, kAnswerBytes,
                  connection->IsClosed() ? "connection ended" : "open",
                  Now() - start);
      ++sent;
      const bool isWhole = body >= kAnswerBytes;
      const bool isCut = !isWhole && connection->IsClosed() &&
                         answeredAt.count(id) != 0;
      complete += isWhole ? 1 : 0;
      cut += isCut ? 1 : 0;
      other += isWhole || isCut ? 0 : 1;
    });
  }
  const pid_t pid = host.pid;
  if (HasTrouble()) {
    Sleep(kTermAfterMs);
    kill(pid, SIGTERM);
    record.Line("SIGTERM to %s", host.name.c_str());
    const double start = Now();
    int status = 0;
    while (waitpid(pid, &status, WNOHANG) == 0 && Now() - start < kGraceS) {
      Sleep(10);
    }
    record.Line("the process has %s %.2f s after SIGTERM, status %d",
                Now() - start < kGraceS ? "ended" : "not ended",
                Now() - start, status);
    if (Now() - start < kGraceS) {
      host.pid = -1;
    } else {
      deployment.Kill(host);
    }
  }
  for (std::thread& it : clients) {
    it.join();
  }
  const bool isBroken = cut > 0;
  record.Line("first requests %d, complete answers %d, cut %d, other %d: LOST %s",
              sent, complete, cut, other, isBroken ? "broken" : "held");
  std::printf(
    "first requests %d, complete answers %d, cut %d, other %d: LOST %s\n", sent,
    complete, cut, other, isBroken ? "broken" : "held");
  deployment.Exit(isBroken ? 1 : 0);
}
