#include "standins/src/Link.h"

#include <cxxopts.hpp>
#include <iostream>
#include <sstream>

using namespace auburnmux;
using namespace auburnmux::standins;

namespace {

std::vector<http::Endpoint> ReadEndpoints(const std::string& aText)
{
  std::vector<http::Endpoint> all;
  std::istringstream parts(aText);
  for (std::string part; std::getline(parts, part, ',');) {
    all.push_back(ParseEndpoint(part).value_or(http::Endpoint()));
  }
  return all;
}

/** Changes the link that \a aChange names by "link", or all links. */
void Configure(std::list<Link>& aLinks, const Json& aChange)
{
  std::size_t i = 0;
  for (Link& it : aLinks) {
    if (aChange.value("link", i) == i) {
      it.Configure(aChange);
    }
    ++i;
  }
}

void HandleControl(const ExchangePtr& aExchange, std::list<Link>& aLinks,
                   const std::string& aBody)
{
  try {
    if (aExchange->Head().mMethod == "PUT") {
      Configure(aLinks, Json::parse(aBody));
    }
    Json stats = Json::array();
    for (const Link& it : aLinks) {
      stats.push_back(it.Stats());
    }
    Reply(aExchange, 200, stats);
  } catch (const Json::exception& ex) {
    Reply(aExchange, 400, { { "error", ex.what() } });
  }
}

} // namespace

int main(int aArgc, char** aArgv)
{
  cxxopts::Options options("standin-link", "TCP links that can fail");
  const auto text = cxxopts::value<std::string>()->default_value("");
  options.add_options()("listen", "ADDRESS:PORT[,...]", text)(
    "to", "ADDRESS:PORT[,...], as many as --listen has",
    text)("control", "ADDRESS:PORT for GET and PUT /control",
          cxxopts::value<std::string>()->default_value("127.0.0.1:19790"))(
    "help", "print this");
  try {
    const auto flags = options.parse(aArgc, aArgv);
    const auto listen = ReadEndpoints(flags["listen"].as<std::string>());
    const auto to = ReadEndpoints(flags["to"].as<std::string>());
    const auto control = ParseEndpoint(flags["control"].as<std::string>());
    if (flags.count("help") > 0 || listen.empty() ||
        listen.size() != to.size() || !control) {
      std::cout << options.help();
      return flags.count("help") > 0 ? 0 : 2;
    }
    http::Loop loop;
    std::list<Link> links;
    const http::Server server(
      loop, *control, [&links](const ExchangePtr& aExchange) {
        CollectBody(aExchange, [&links, aExchange](const std::string& aBody) {
          HandleControl(aExchange, links, aBody);
        });
      });
    bool isListening = server.IsListening();
    for (std::size_t i = 0; i < listen.size(); ++i) {
      links.emplace_back(loop, listen[i], to[i]);
      isListening = isListening && links.back().IsListening();
    }
    if (!isListening) {
      std::cerr << "can't listen on every address\n";
      return 1;
    }
    loop.Run();
  } catch (const std::exception& ex) {
    std::cerr << ex.what() << '\n';
    return 2;
  }
  return 0;
}
