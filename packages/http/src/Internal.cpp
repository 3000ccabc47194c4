#include "http/src/Internal.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <libwebsockets.h>
#include <string_view>

namespace auburnmux::http::internal {

namespace {

// libwebsockets 4.1 can't list the fields that it doesn't know, so those that
// are passed on are named here.
constexpr std::array<const char*, 14> kExtensionFields = {
  "idempotency-key:",     "traceparent:",    "tracestate:",
  "request-deadline-ms:", "work-outcome:",   "auburnmux-grant:",
  "auburnmux-origin:",    "upstream-load:",  "upstream-state:",
  "x-request-id:",        "x-operator:",     "content-digest:",
  "upload-offset:",       "x-forwarded-for:"
};

std::string CopyKnown(lws* aWsi, lws_token_indexes aToken, int aLength)
{
  std::string value(static_cast<std::size_t>(aLength) + 1, '\0');
  const int n = lws_hdr_copy(aWsi, value.data(), aLength + 1, aToken);
  value.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
  return value;
}

void AddKnown(lws* aWsi, lws_token_indexes aToken, Headers& aHeaders)
{
  const int n = lws_hdr_total_length(aWsi, aToken);
  const unsigned char* text = lws_token_to_string(aToken);
  if (n <= 0 || text == nullptr) {
    return;
  }
  std::string_view name(reinterpret_cast<const char*>(text));
  const bool isField = name.size() > 1 && name.front() != ':' &&
                       name.back() == ':' && name.find(' ') == name.npos;
  if (isField) {
    name.remove_suffix(1);
    aHeaders.Set(name, CopyKnown(aWsi, aToken, n));
  }
}

void AddExtension(lws* aWsi, const char* aName, Headers& aHeaders)
{
  const int length = static_cast<int>(std::string_view(aName).size());
  const int n = lws_hdr_custom_length(aWsi, aName, length);
  if (n <= 0) {
    return;
  }
  std::string value(static_cast<std::size_t>(n) + 1, '\0');
  const int copied =
    lws_hdr_custom_copy(aWsi, value.data(), n + 1, aName, length);
  value.resize(copied > 0 ? static_cast<std::size_t>(copied) : 0);
  aHeaders.Set(std::string_view(aName, static_cast<std::size_t>(length) - 1),
               value);
}

std::string Encode(const std::string& aText, std::string_view aAllowed)
{
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string out;
  for (const char it : aText) {
    const auto byte = static_cast<unsigned char>(it);
    if (std::isalnum(byte) != 0 || aAllowed.find(it) != aAllowed.npos) {
      out += it;
    } else {
      out += { '%', kDigits[byte >> 4U], kDigits[byte & 15U] };
    }
  }
  return out;
}

} // namespace

Headers ReadHeaders(lws* aWsi)
{
  Headers headers;
  for (int i = 0; i < WSI_TOKEN_COUNT; ++i) {
    AddKnown(aWsi, static_cast<lws_token_indexes>(i), headers);
  }
  for (const char* it : kExtensionFields) {
    AddExtension(aWsi, it, headers);
  }
  return headers;
}

BodyLength ReadBodyLength(lws* aWsi)
{
  constexpr std::size_t kMaxDigits = 15;
  BodyLength result;
  const int coding =
    lws_hdr_total_length(aWsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING);
  const int n = lws_hdr_total_length(aWsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
  result.mIsChunked = coding > 0;
  if (n <= 0) {
    return result;
  }
  const bool isDoubled =
    lws_hdr_fragment_length(aWsi, WSI_TOKEN_HTTP_CONTENT_LENGTH, 1) > 0;
  const std::string text = CopyKnown(aWsi, WSI_TOKEN_HTTP_CONTENT_LENGTH, n);
  const bool isNumber =
    !text.empty() && text.size() <= kMaxDigits &&
    std::all_of(text.begin(), text.end(),
                [](unsigned char aChar) { return std::isdigit(aChar) != 0; });
  if (isDoubled || !isNumber || result.mIsChunked) {
    result.mIsInvalid = true;
    return result;
  }
  result.mBytes = std::stoull(text);
  return result;
}

void AppendField(std::string& aOut, const Header& aHeader)
{
  const auto hasLineEnd = [](const std::string& aText) {
    return aText.find_first_of("\r\n") != std::string::npos;
  };
  if (hasLineEnd(aHeader.mName) || hasLineEnd(aHeader.mValue)) {
    return;
  }
  aOut += aHeader.mName + ": " + aHeader.mValue + "\r\n";
}

std::string EncodePath(const std::string& aText)
{
  return Encode(aText, "-._~/:@!$&'()*+,;=");
}

std::string EncodeParameter(const std::string& aText)
{
  return Encode(aText, "-._~/:@!$'()*+,;=?");
}

} // namespace auburnmux::http::internal
