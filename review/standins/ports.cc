// Prints free TCP ports of the loopback address, one a line. They lie below the
// usual range of ephemeral ports, so that no outgoing connection takes one of
// them before its server listens.
//
//   ports COUNT
#include "lab.hpp"

#include <random>

int main(int aCount, char** aWords)
{
  constexpr int kFirst = 12000;
  constexpr int kLast = 32000;
  std::random_device random;
  std::vector<int> sockets;
  const auto wanted =
    static_cast<std::size_t>(aCount > 1 ? std::atoi(aWords[1]) : 1);
  for (int tries = 0; sockets.size() < wanted; ++tries) {
    if (tries > 10000) {
      return 2;
    }
    const int port =
      kFirst + static_cast<int>(random() % (kLast - kFirst));
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address =
      lab::ToAddress("127.0.0.1:" + std::to_string(port));
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address),
             sizeof address) != 0) {
      close(fd);
      continue;
    }
    sockets.push_back(fd);
    std::printf("%d\n", port);
  }
}
