#include "http/src/Headers.h"

#include <algorithm>
#include <array>

namespace auburnmux::http {

std::optional<std::string_view> Headers::Find(std::string_view aName) const
{
  for (const Header& it : mFields) {
    if (it.mName == aName) {
      return std::string_view(it.mValue);
    }
  }
  return std::nullopt;
}

void Headers::Set(std::string_view aName, std::string_view aValue)
{
  Remove(aName);
  mFields.push_back({ std::string(aName), std::string(aValue) });
}

void Headers::Remove(std::string_view aName)
{
  const auto isNamed = [aName](const Header& aHeader) {
    return aHeader.mName == aName;
  };
  mFields.erase(std::remove_if(mFields.begin(), mFields.end(), isNamed),
                mFields.end());
}

bool IsHopByHop(std::string_view aName)
{
  constexpr std::array<std::string_view, 9> kNames = { "connection",
                                                       "keep-alive",
                                                       "proxy-authenticate",
                                                       "proxy-authorization",
                                                       "proxy-connection",
                                                       "te",
                                                       "trailer",
                                                       "transfer-encoding",
                                                       "upgrade" };
  return std::find(kNames.begin(), kNames.end(), aName) != kNames.end();
}

} // namespace auburnmux::http
