#include "http/src/Headers.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace auburnmux::http {

namespace {

/** \returns the items of a comma-separated list, trimmed and in lower case. */
std::vector<std::string> SplitList(std::string_view aText)
{
  std::vector<std::string> items(1);
  for (const char it : aText) {
    if (it == ',') {
      items.emplace_back();
    } else if (it != ' ' && it != '\t') {
      items.back() +=
        static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    }
  }
  return items;
}

} // namespace

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
  RemoveIf([aName](std::string_view aField) { return aField == aName; });
}

void AppendField(std::string& aOut, const Header& aHeader)
{
  const auto hasLineEnd = [](const std::string& aText) {
    return aText.find_first_of("\r\n") != std::string::npos;
  };
  if (hasLineEnd(aHeader.mName) || hasLineEnd(aHeader.mValue)) {
    return;
  }
  aOut += aHeader.mName;
  aOut += ": ";
  aOut += aHeader.mValue;
  aOut += "\r\n";
}

void RemoveHopByHop(Headers& aHeaders)
{
  std::vector<std::string> named;
  for (const Header& it : aHeaders.Fields()) {
    if (it.mName == "connection") {
      const std::vector<std::string> names = SplitList(it.mValue);
      named.insert(named.end(), names.begin(), names.end());
    }
  }
  for (const std::string& it : named) {
    aHeaders.Remove(it);
  }
  aHeaders.RemoveIf(IsHopByHop);
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
