#pragma once

#include "http/src/Message.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

namespace auburnmux::http::internal {

/** How far a message has been read. */
enum class ReadState
{
  /** More bytes are needed. */
  NeedsMore,
  /** The head is complete; the body, if any, follows. */
  HeadDone,
  /** The whole message was read. */
  Complete,
  /** The head is longer than allowed. */
  HeadTooLong,
  Malformed
};

/** What one call of a reader did. */
struct ReadStep
{
  /** Bytes that were used up; the caller presents the rest again. */
  std::size_t mConsumed = 0;
  ReadState mState = ReadState::NeedsMore;
};

/** Receives the decoded parts of a body. */
class BodySink
{
public:
  virtual ~BodySink() = default;
  virtual void OnBodyPart(std::string_view aPart) = 0;
};

/** Reads one request. The parser is Boost.Beast's. */
class RequestReader
{
public:
  explicit RequestReader(base::ByteCount aMaxHead);
  ~RequestReader();
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  /** Reads on; returns once when the head is complete. */
  ReadStep Read(std::string_view aBytes, BodySink& aSink);
  /** \pre the head is complete */
  RequestHead TakeHead();
  /** \returns whether the connection may carry another request. */
  bool KeepsAlive() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Reads one response; interim (1xx) responses are for the caller to skip. */
class ResponseReader
{
public:
  /** \param aHasNoBody whether the request's method allows no body */
  ResponseReader(base::ByteCount aMaxHead, bool aHasNoBody);
  ~ResponseReader();
  ResponseReader(const ResponseReader&) = delete;
  ResponseReader& operator=(const ResponseReader&) = delete;

  ReadStep Read(std::string_view aBytes, BodySink& aSink);
  /** Tells that the other side closed its end in order. */
  ReadState ReadEnd();
  /** \pre the head is complete */
  ResponseHead TakeHead();
  /** \returns whether only the end of the connection ends the body. */
  bool EndsWithConnection() const;
  bool KeepsAlive() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace auburnmux::http::internal
