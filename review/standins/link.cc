// A link between a host and the store. On SIGUSR1 half of its open connections
// go silent for good, that of the configuration's watch among them: nothing is
// passed on any more, and they aren't closed. New connections work.
//
//   link --listen IP:PORT --to IP:PORT --record FILE
#include "lab.hpp"

#include <memory>

namespace {

struct Pair
{
  explicit Pair(int aClient)
    : mClient(aClient)
  {
  }

  lab::Connection mClient;
  lab::Connection mServer;
  std::atomic<bool> mIsSilent{ false };
  std::atomic<bool> mIsOpen{ true };
  std::atomic<bool> mIsConfigWatch{ false };
};

std::mutex gMutex;
std::vector<std::shared_ptr<Pair>> gPairs;

/** Passes bytes on until the connection ends or goes silent. */
void Pass(const std::shared_ptr<Pair>& aPair, bool aIsFromClient)
{
  const int from =
    aIsFromClient ? aPair->mClient.Fd() : aPair->mServer.Fd();
  const int to = aIsFromClient ? aPair->mServer.Fd() : aPair->mClient.Fd();
  char buf[65536];
  for (;;) {
    const ssize_t n = recv(from, buf, sizeof buf, 0);
    while (aPair->mIsSilent) {
      lab::SleepMs(1000); // silent for good: neither passed on nor closed
    }
    if (n <= 0) {
      break;
    }
    if (aIsFromClient) {
      const std::string text(buf, static_cast<std::size_t>(n));
      aPair->mIsConfigWatch =
        text.find("/objects/config?watch=") != std::string::npos;
    }
    std::size_t sent = 0;
    while (sent < static_cast<std::size_t>(n)) {
      const ssize_t it = send(to, buf + sent,
                              static_cast<std::size_t>(n) - sent, MSG_NOSIGNAL);
      if (it <= 0) {
        break;
      }
      sent += static_cast<std::size_t>(it);
    }
  }
  aPair->mIsOpen = false;
  shutdown(from, SHUT_RDWR);
  shutdown(to, SHUT_RDWR);
}

void SilenceHalf(const lab::Record& aRecord)
{
  const std::lock_guard<std::mutex> lock(gMutex);
  std::vector<std::shared_ptr<Pair>> open;
  for (const auto& it : gPairs) {
    if (it->mIsOpen && !it->mIsSilent) {
      open.push_back(it);
    }
  }
  std::stable_partition(open.begin(), open.end(), [](const auto& aIt) {
    return aIt->mIsConfigWatch.load();
  });
  const std::size_t count = std::max<std::size_t>(open.size() / 2, 1);
  for (std::size_t i = 0; i < count && i < open.size(); ++i) {
    open[i]->mIsSilent = true;
  }
  aRecord.Write("link silent connections=" + std::to_string(count) + " of=" +
                std::to_string(open.size()));
}

} // namespace

int main(int aCount, char** aWords)
{
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGUSR1);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const lab::Options options(aCount, aWords, 1);
  const lab::Record record(options.Text("record"));
  std::thread([&] {
    for (int signal = 0; sigwait(&signals, &signal) == 0;) {
      SilenceHalf(record);
    }
  }).detach();
  lab::Serve(options.Text("listen"), [&](lab::Connection& aConnection) {
    // The pair keeps the descriptor, also after this thread has ended.
    const auto pair = std::make_shared<Pair>(dup(aConnection.Fd()));
    if (!pair->mServer.Connect(options.Text("to"))) {
      return;
    }
    pair->mServer.SetTimeout(3600 * 1000);
    {
      const std::lock_guard<std::mutex> lock(gMutex);
      gPairs.push_back(pair);
    }
    std::thread([pair] { Pass(pair, false); }).detach();
    Pass(pair, true);
  });
}
