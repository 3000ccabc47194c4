// Prints free TCP ports of the loopback address, one a line.
//
//   ports COUNT
#include "lab.hpp"

int main(int aCount, char** aWords)
{
  std::vector<int> sockets;
  for (int i = aCount > 1 ? std::atoi(aWords[1]) : 1; i > 0; --i) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = lab::ToAddress("127.0.0.1:0");
    socklen_t length = sizeof address;
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
      return 2;
    }
    sockets.push_back(fd);
    std::printf("%d\n", ntohs(address.sin_port));
  }
}
