// Stand-in of a backend: slots, a short queue, Not-Executed when full, 421 for
// another instance, a liveness report in the store, and a record of what it ran.
//
//   backend --listen IP:PORT --store IP:PORT --id ID --service NAME --zone ZONE
//           --slots N --queue N --work-ms N --record FILE [--early-parts N]
//           [--crash-path TARGET --restart-ms N]
//
// With --crash-path TARGET it crashes when it begins to run a request for that
// target, and is back after --restart-ms as a new lifetime with a new id.
//
// With --early-parts it answers a long body before it has read it, without a
// length, in so many parts over the work time, and reads the rest afterwards.
#include "lab.hpp"

#include <sys/prctl.h>
#include <sys/wait.h>

namespace {

struct Settings
{
  std::string mListen;
  std::string mStore;
  std::string mId;
  std::string mService;
  std::string mZone;
  int mSlots = 3;
  int mQueue = 9;
  std::int64_t mWorkMs = 410;
  int mEarlyParts = 0;
  std::string mCrashPath;
};

Settings gSettings;
lab::Record* gRecord = nullptr;
std::mutex gMutex;
std::condition_variable gFreed;
int gRunning = 0;
int gWaiting = 0;

std::string Load()
{
  const std::lock_guard<std::mutex> lock(gMutex);
  return std::to_string(gRunning) + ',' + std::to_string(gWaiting) + ',' +
         std::to_string(gSettings.mSlots);
}

/** Takes a slot, after waiting in the queue. \returns whether it got one */
bool TakeSlot(std::int64_t aUntil)
{
  std::unique_lock<std::mutex> lock(gMutex);
  if (gRunning >= gSettings.mSlots) {
    if (gWaiting >= gSettings.mQueue) {
      return false;
    }
    ++gWaiting;
    const bool isFree = gFreed.wait_for(
      lock, std::chrono::milliseconds(aUntil - lab::MonotonicMs()),
      [] { return gRunning < gSettings.mSlots; });
    --gWaiting;
    if (!isFree) {
      return false;
    }
  }
  ++gRunning;
  return true;
}

void FreeSlot()
{
  const std::lock_guard<std::mutex> lock(gMutex);
  --gRunning;
  gFreed.notify_one();
}

bool Respond(lab::Connection& aConnection, const std::string& aStatus,
             const std::string& aFields, const std::string& aBody)
{
  return aConnection.Write("HTTP/1.1 " + aStatus + "\r\n" + aFields +
                           "Backend-Load: " + Load() +
                           "\r\nKeep-Alive: timeout=10\r\nContent-Length: " +
                           std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
}

/** Answers a request whose body is still arriving; the answer has no length and
 * ends with the connection. */
void AnswerEarly(lab::Connection& aConnection, const lab::Message& aRequest)
{
  constexpr std::size_t kPartBytes = 2000;
  const std::string id = aRequest.Field("request-id");
  const std::string whole =
    lab::MakeBody("receipt of " + id,
                  kPartBytes * static_cast<std::size_t>(gSettings.mEarlyParts));
  if (!TakeSlot(lab::MonotonicMs() + gSettings.mWorkMs)) {
    Respond(aConnection, "503 Service Unavailable",
            "Request-Id: " + id + "\r\nNot-Executed: 1\r\n", "");
    return;
  }
  gRecord->Write("backend " + gSettings.mId + " run id=" + id + " bytes=" +
                 std::to_string(whole.size()) +
                 " digest=" + lab::Digest(whole));
  bool isSent = aConnection.Write(
    "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s." +
    gSettings.mId + '.' + id + "\r\nBackend-Load: " + Load() +
    "\r\nConnection: close\r\n\r\n");
  for (std::size_t n = 0; isSent && n < whole.size(); n += kPartBytes) {
    isSent = aConnection.Write(whole.substr(n, kPartBytes));
    lab::SleepMs(gSettings.mWorkMs / gSettings.mEarlyParts);
  }
  FreeSlot();
  shutdown(aConnection.Fd(), SHUT_WR);
  gRecord->Write("backend " + gSettings.mId + " answered id=" + id);
  lab::Message rest = aRequest;
  aConnection.ReadBody(rest, false);
}

void Handle(lab::Connection& aConnection)
{
  lab::Message request;
  aConnection.SetTimeout(30000);
  while (aConnection.ReadHead(request) == lab::ReadEnd::Complete) {
    const std::string id = request.Field("request-id");
    const std::int64_t arrived = lab::MonotonicMs();
    const std::string instance = request.Field("expect-instance");
    if (gSettings.mEarlyParts > 0 && request.Method() == "POST" &&
        instance == gSettings.mId) {
      AnswerEarly(aConnection, request);
      return;
    }
    const std::string deadline = request.Field("deadline-ms");
    const std::int64_t until =
      arrived + (deadline.empty() ? 60000 : std::atoll(deadline.c_str()));
    if (!deadline.empty()) {
      aConnection.SetTimeout(until - lab::MonotonicMs());
    }
    const lab::ReadEnd end = aConnection.ReadBody(request, false);
    aConnection.SetTimeout(30000);
    if (end == lab::ReadEnd::Timeout) {
      gRecord->Write("backend " + gSettings.mId + " time_up id=" + id +
                     " bytes=" + std::to_string(request.mBody.size()));
      Respond(aConnection, "503 Service Unavailable",
              "Request-Id: " + id +
                "\r\nNot-Executed: 1\r\nConnection: close\r\n",
              "");
      return;
    }
    if (end != lab::ReadEnd::Complete) {
      gRecord->Write("backend " + gSettings.mId + " incomplete id=" + id +
                     " bytes=" + std::to_string(request.mBody.size()));
      return;
    }
    const std::string echo = "Request-Id: " + id + "\r\n";
    if (request.Target() == "/healthz") {
      Respond(aConnection, "200 OK",
              "Instance-Id: " + gSettings.mId + "\r\n", "");
      continue;
    }
    if (!instance.empty() && instance != gSettings.mId) {
      Respond(aConnection, "421 Misdirected Request",
              echo + "Instance-Id: " + gSettings.mId + "\r\n", "");
      continue;
    }
    if (!TakeSlot(until)) {
      gRecord->Write("backend " + gSettings.mId + " rejected id=" + id);
      Respond(aConnection, "503 Service Unavailable",
              echo + "Not-Executed: 1\r\n", "");
      continue;
    }
    gRecord->Write("backend " + gSettings.mId + " run id=" + id + " method=" +
                   request.Method() + " target=" + request.Target() +
                   " bytes=" + std::to_string(request.mBody.size()) +
                   " digest=" + lab::Digest(request.mBody));
    if (!gSettings.mCrashPath.empty() &&
        request.Target() == gSettings.mCrashPath) {
      lab::SleepMs(50);
      gRecord->Write("backend " + gSettings.mId + " crash id=" + id);
      _exit(1);
    }
    const std::int64_t end_of_work =
      std::min(lab::MonotonicMs() + gSettings.mWorkMs, until);
    while (lab::MonotonicMs() < end_of_work && !aConnection.IsPeerGone()) {
      lab::SleepMs(5);
    }
    FreeSlot();
    const bool isLate = end_of_work == until;
    if (!Respond(aConnection, isLate ? "504 Gateway Timeout" : "200 OK",
                 echo + "Response-Signature: s." + gSettings.mId + '.' + id +
                   "\r\n",
                 isLate ? "" : "stored " + id)) {
      return;
    }
  }
}

void Report()
{
  const std::int64_t born = lab::WallMs();
  for (int sequence = 1;; ++sequence) {
    lab::Call(gSettings.mStore, "PUT", "/v1/objects/servers/" + gSettings.mId,
              R"({"service":")" + gSettings.mService + R"(","address":")" +
                gSettings.mListen + R"(","zone":")" + gSettings.mZone +
                R"(","version":"v1","slots":)" +
                std::to_string(gSettings.mSlots) +
                R"(,"state":"ready","cold_remaining_ms":0,"born":)" +
                std::to_string(born) + R"(,"sequence":)" +
                std::to_string(sequence) + '}');
    lab::SleepMs(1500);
  }
}

/** Starts a child that serves, and another one with a new id when it ends.
 * \returns in each child only */
void RestartAfterCrashes(std::int64_t aRestartMs)
{
  const std::string name = gSettings.mId;
  for (int lifetime = 1;; ++lifetime) {
    const pid_t child = fork();
    if (child == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      gSettings.mId = name + '-' + std::to_string(lifetime);
      return;
    }
    waitpid(child, nullptr, 0);
    lab::SleepMs(aRestartMs);
  }
}

} // namespace

int main(int aCount, char** aWords)
{
  std::signal(SIGPIPE, SIG_IGN);
  const lab::Options options(aCount, aWords, 1);
  gSettings.mListen = options.Text("listen");
  gSettings.mStore = options.Text("store");
  gSettings.mId = options.Text("id");
  gSettings.mService = options.Text("service");
  gSettings.mZone = options.Text("zone");
  gSettings.mSlots = static_cast<int>(options.Number("slots", 3));
  gSettings.mQueue = static_cast<int>(options.Number("queue", 9));
  gSettings.mWorkMs =
    static_cast<std::int64_t>(options.Number("work-ms", 410));
  gSettings.mEarlyParts = static_cast<int>(options.Number("early-parts", 0));
  lab::Record record(options.Text("record"));
  gRecord = &record;
  gSettings.mCrashPath = options.Text("crash-path");
  if (!gSettings.mCrashPath.empty()) {
    RestartAfterCrashes(
      static_cast<std::int64_t>(options.Number("restart-ms", 2000)));
  }
  std::thread(Report).detach();
  lab::Serve(gSettings.mListen, Handle);
}
