// Clients of case 4: vouchers at an even rate, each on a connection of its own,
// and one caller that repeats the same lookup every few seconds.
//
//   clients --directory IP:PORT --zone ZONE --region REGION --host NAME
//           --rate N --length-s S --deadline-ms N --poison TARGET
//           --poison-every-s S --record FILE
//
// Without --poison there is no such caller.
#include "../standins/lab.hpp"

namespace {

std::atomic<int> gActive{ 0 };

struct Settings
{
  std::string mFront;
  std::string mHost;
  std::int64_t mDeadlineMs = 2500;
};

Settings gSettings;
lab::Record* gRecord = nullptr;

/** \returns the status, 0 without a complete answer */
int Send(const std::string& aId, const std::string& aMethod,
         const std::string& aTarget, const std::string& aKey,
         const std::string& aBody)
{
  gRecord->Write("client sent id=" + aId + " target=" + aTarget);
  lab::Connection connection;
  lab::Message response;
  lab::ReadEnd end = lab::ReadEnd::Reset;
  if (connection.Connect(gSettings.mFront)) {
    connection.SetTimeout(gSettings.mDeadlineMs);
    connection.Write(
      aMethod + ' ' + aTarget + " HTTP/1.1\r\nHost: " + gSettings.mHost +
      "\r\nRequest-Id: " + aId + "\r\nAffinity-Key: " + aKey +
      "\r\nDeadline-Ms: " + std::to_string(gSettings.mDeadlineMs) +
      (aBody.empty()
         ? ""
         : "\r\nContent-Length: " + std::to_string(aBody.size())) +
      "\r\nConnection: close\r\n\r\n" + aBody);
    end = connection.ReadHead(response);
    if (end == lab::ReadEnd::Complete) {
      end = connection.ReadBody(response, true);
    }
  }
  const int status = end == lab::ReadEnd::Complete ? response.Status() : 0;
  gRecord->Write("client answered id=" + aId + " target=" + aTarget +
                 " status=" + std::to_string(status) +
                 " retry-after=" + response.Field("retry-after"));
  return status;
}

void Repeat(const std::string& aTarget, std::int64_t aEveryMs,
            std::int64_t aUntil)
{
  for (int i = 0; lab::MonotonicMs() < aUntil; ++i) {
    const std::string id = "p" + std::to_string(i);
    // One retry, as the pages have it for idempotent requests.
    if (Send(id + 'a', "GET", aTarget, "17", "") != 200) {
      Send(id + 'b', "GET", aTarget, "17", "");
    }
    lab::SleepMs(aEveryMs);
  }
}

} // namespace

int main(int aCount, char** aWords)
{
  std::signal(SIGPIPE, SIG_IGN);
  const lab::Options options(aCount, aWords, 1);
  lab::Record record(options.Text("record"));
  gRecord = &record;
  gSettings.mHost = options.Text("host");
  gSettings.mDeadlineMs =
    static_cast<std::int64_t>(options.Number("deadline-ms", 2500));
  const auto fronts = lab::Resolve(
    options.Text("directory"), "name=" + gSettings.mHost + "&region=" +
                                 options.Text("region") +
                                 "&zone=" + options.Text("zone"));
  if (fronts.empty()) {
    std::fprintf(stderr, "the directory names no host\n");
    return 2;
  }
  gSettings.mFront = fronts.front();
  const double rate = options.Number("rate", 1);
  const double length = options.Number("length-s", 10);
  std::thread repeating;
  if (const std::string poison = options.Text("poison"); !poison.empty()) {
    const auto every =
      static_cast<std::int64_t>(1000 * options.Number("poison-every-s", 5));
    const auto until =
      lab::MonotonicMs() + static_cast<std::int64_t>(1000 * length);
    repeating = std::thread(
      [poison, every, until] { Repeat(poison, every, until); });
  }
  const auto start = lab::Clock::now();
  const int count = static_cast<int>(rate * length);
  for (int i = 0; i < count; ++i) {
    std::this_thread::sleep_until(
      start +
      std::chrono::microseconds(static_cast<std::int64_t>(i * 1e6 / rate)));
    ++gActive;
    std::thread([i] {
      const std::string id = "v" + std::to_string(i);
      Send(id, "POST", "/vouchers/issue", std::to_string(i % 60),
           lab::MakeBody(id, 4000));
      --gActive;
    }).detach();
  }
  if (repeating.joinable()) {
    repeating.join();
  }
  while (gActive > 0) {
    lab::SleepMs(20);
  }
}
