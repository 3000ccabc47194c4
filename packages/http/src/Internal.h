#pragma once

#include "http/src/Headers.h"

#include <cstddef>
#include <optional>
#include <string>

struct lws;

namespace auburnmux::http::internal {

/**
 * Bytes that one connection may read in one turn of the loop, so that an
 * upload takes no long turn from a short request.
 */
constexpr std::size_t kTurnBytes = 16384;

/** Room that libwebsockets needs in front of a buffer it writes. */
constexpr std::size_t kWriteMargin = 32;

/** \returns the end-to-end and length fields of the head that arrived. */
Headers ReadHeaders(lws* aWsi);

/** How a received head states the length of its body. */
struct BodyLength
{
  /** Whether the fields contradict one another or can't be read. */
  bool mIsInvalid = false;
  bool mIsChunked = false;
  std::optional<std::size_t> mBytes;
};

/** \returns the length as stated by Content-Length and Transfer-Encoding. */
BodyLength ReadBodyLength(lws* aWsi);

/** Appends `name: value` with a line end; drops fields with CR or LF. */
void AppendField(std::string& aOut, const Header& aHeader);

/** \returns \a aText with all bytes that a path may not hold encoded. */
std::string EncodePath(const std::string& aText);

/** \returns one `key=value` of a query, with all bytes that would end it or
 * may not stand there encoded. */
std::string EncodeParameter(const std::string& aText);

} // namespace auburnmux::http::internal
