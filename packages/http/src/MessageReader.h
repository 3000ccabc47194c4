#pragma once

#include "http/src/Message.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

namespace auburnmux::http::internal {

/** Parsing state of a message. */
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
  /** The body has a transfer coding other than chunks. */
  UnknownCoding,
  Malformed
};

/** Result of one call of a reader. */
struct ReadStep
{
  /** Bytes that were consumed; the next call must begin with the rest. */
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

/** Parses one request with Boost.Beast. */
class RequestReader
{
public:
  explicit RequestReader(base::ByteCount aMaxHead);
  ~RequestReader();
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  /** Parses further input. Returns HeadDone once, when the head is complete;
   * the body is parsed by the next calls. */
  ReadStep Read(std::string_view aBytes, BodySink& aSink);
  /** \pre the head is complete */
  RequestHead TakeHead();
  /** \returns whether the connection may carry another request. */
  bool KeepsAlive() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Parses one response. Interim (1xx) responses are reported like others; a
 * status below 100 or above 599 is malformed. */
class ResponseReader
{
public:
  /** \param aHasNoBody whether the request's method allows no response body */
  ResponseReader(base::ByteCount aMaxHead, bool aHasNoBody);
  ~ResponseReader();
  ResponseReader(const ResponseReader&) = delete;
  ResponseReader& operator=(const ResponseReader&) = delete;

  ReadStep Read(std::string_view aBytes, BodySink& aSink);
  /** Reports that the peer closed its sending side without an error. */
  ReadState ReadEnd();
  /** \pre the head is complete */
  ResponseHead TakeHead();
  /** \returns whether the body ends with the connection, having no length. */
  bool EndsWithConnection() const;
  bool KeepsAlive() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace auburnmux::http::internal
