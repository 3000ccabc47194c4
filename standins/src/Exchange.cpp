#include "standins/src/Exchange.h"

#include <charconv>
#include <utility>

namespace auburnmux::standins {

namespace {

class BodyCollector final : public http::RequestObserver
{
public:
  BodyCollector(const ExchangePtr& aExchange,
                std::function<void(const std::string&)> aDone)
    : mExchange(aExchange)
    , mDone(std::move(aDone))
  {
  }

  void OnBody(std::string_view aPart) override
  {
    if (mBody.size() + aPart.size() <= kMaxBodyBytes) {
      mBody += aPart;
    } else if (mDone) {
      mDone = nullptr;
      if (const auto exchange = mExchange.lock()) {
        Reply(exchange, 413, { { "error", "the body exceeds 1 MB" } });
      }
    }
  }

  void OnBodyEnd() override
  {
    if (const auto done = std::exchange(mDone, nullptr)) {
      done(mBody);
    }
  }

  void OnClosed(bool /*aIsComplete*/) override {}

private:
  std::weak_ptr<http::ServerExchange> mExchange;
  std::function<void(const std::string&)> mDone;
  std::string mBody;
};

} // namespace

void Reply(const ExchangePtr& aExchange, int aStatus, const Json& aBody,
           http::Headers aHeaders)
{
  if (!aExchange->IsClosed() && !aExchange->IsHeadSent()) {
    aHeaders.Set("content-type", "application/json");
    aExchange->Respond(
      aStatus, std::move(aHeaders),
      aBody.dump(-1, ' ', false, Json::error_handler_t::replace));
  }
}

void CollectBody(const ExchangePtr& aExchange,
                 std::function<void(const std::string&)> aDone)
{
  aExchange->Observe(
    std::make_unique<BodyCollector>(aExchange, std::move(aDone)));
}

std::optional<Json> ParseObject(const std::string& aText)
{
  Json json = Json::parse(aText, nullptr, false);
  return json.is_object() ? std::optional<Json>(std::move(json)) : std::nullopt;
}

std::optional<http::Endpoint> ParseEndpoint(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data() + colon + 1, end, port);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return http::Endpoint{ aText.substr(0, colon), base::PortNumber(port) };
}

base::Duration Milliseconds(double aCount)
{
  return std::chrono::duration_cast<base::Duration>(
    std::chrono::duration<double, std::milli>(aCount));
}

} // namespace auburnmux::standins
