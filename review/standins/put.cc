// Writes an object to the store, as the operator does.
//
//   put IP:PORT KIND NAME FILE [RECORD]
#include "lab.hpp"

int main(int aCount, char** aWords)
{
  if (aCount < 5) {
    return 2;
  }
  std::string body;
  if (FILE* file = std::fopen(aWords[4], "r")) {
    char buf[4096];
    for (std::size_t n = 0; (n = std::fread(buf, 1, sizeof buf, file)) > 0;) {
      body.append(buf, n);
    }
    std::fclose(file);
  }
  const auto response =
    lab::Call(aWords[1], "PUT",
              std::string("/v1/objects/") + aWords[2] + '/' + aWords[3], body);
  if (!response || response->Status() != 200) {
    return 1;
  }
  lab::Record(aCount > 5 ? aWords[5] : "")
    .Write(std::string("operator acknowledged ") + aWords[2] + '/' + aWords[3]);
  return 0;
}
