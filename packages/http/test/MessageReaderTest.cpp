#include "http/src/MessageReader.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace auburnmux;
using http::internal::ReadState;
using http::internal::ReadStep;
using http::internal::RequestReader;
using http::internal::ResponseReader;

namespace {

constexpr base::ByteCount kMaxHead{ 400 };

std::string Describe(const http::Headers& aHeaders)
{
  std::string out;
  for (const http::Header& it : aHeaders.Fields()) {
    out += it.mName + '=' + it.mValue + ';';
  }
  return out;
}

std::string Describe(const std::optional<base::ByteCount>& aLength)
{
  return aLength ? std::to_string(aLength->Count()) : "none";
}

/** Reads requests or responses from a connection as its user does, and records
 * what they contain. */
class Recorder : public http::internal::BodySink
{
public:
  /** Passes on all input that has arrived and was not consumed. */
  void Feed(std::string_view aBytes)
  {
    mInput += aBytes;
    while (!mHasFailed && !mInput.empty() && ParseInput()) {
    }
  }
  const std::string& Events() const { return mEvents; }

  void OnBodyPart(std::string_view aPart) override { mEvents += aPart; }

protected:
  virtual ReadStep Read(std::string_view aBytes) = 0;
  /** \returns the contents of the head. */
  virtual std::string TakeHead() = 0;
  virtual void BeginMessage() = 0;

private:
  bool ParseInput()
  {
    if (!std::exchange(mHasMessage, true)) {
      BeginMessage();
    }
    const ReadStep step = Read(mInput);
    mInput.erase(0, step.mConsumed);
    switch (step.mState) {
      case ReadState::NeedsMore:
        return step.mConsumed > 0;
      case ReadState::HeadDone:
        mEvents += "[" + TakeHead() + "]";
        return true;
      case ReadState::Complete:
        mEvents += "[end]";
        mHasMessage = false;
        return true;
      case ReadState::HeadTooLong:
        return Fail("[too long]");
      case ReadState::UnknownCoding:
        return Fail("[unknown coding]");
      case ReadState::Malformed:
        return Fail("[malformed]");
    }
    return false;
  }

  bool Fail(const char* aEvent)
  {
    mEvents += aEvent;
    mHasFailed = true;
    return false;
  }

  std::string mInput;
  std::string mEvents;
  bool mHasMessage = false;
  bool mHasFailed = false;
};

class RequestRecorder final : public Recorder
{
protected:
  ReadStep Read(std::string_view aBytes) override
  {
    return mReader->Read(aBytes, *this);
  }
  std::string TakeHead() override
  {
    const http::RequestHead head = mReader->TakeHead();
    return head.mMethod + ' ' + head.mPath + '?' + head.mQuery + ' ' +
           Describe(head.mHeaders) + Describe(head.mContentLength) +
           (head.mIsChunked ? " chunked" : "") +
           (mReader->KeepsAlive() ? "" : " close");
  }
  void BeginMessage() override
  {
    mReader = std::make_unique<RequestReader>(kMaxHead);
  }

private:
  std::unique_ptr<RequestReader> mReader;
};

class ResponseRecorder final : public Recorder
{
protected:
  ReadStep Read(std::string_view aBytes) override
  {
    return mReader->Read(aBytes, *this);
  }
  std::string TakeHead() override
  {
    const http::ResponseHead head = mReader->TakeHead();
    return std::to_string(head.mStatus) + ' ' + Describe(head.mHeaders) +
           Describe(head.mContentLength) +
           (mReader->EndsWithConnection() ? " to end" : "") +
           (mReader->KeepsAlive() ? "" : " close");
  }
  void BeginMessage() override
  {
    mReader = std::make_unique<ResponseReader>(kMaxHead, false);
  }

private:
  std::unique_ptr<ResponseReader> mReader;
};

template<typename RecorderType>
std::string EventsOf(const std::vector<std::string_view>& aPieces)
{
  RecorderType recorder;
  for (const std::string_view it : aPieces) {
    recorder.Feed(it);
  }
  return recorder.Events();
}

template<typename RecorderType>
std::string EventsByteByByte(std::string_view aBytes)
{
  RecorderType recorder;
  for (const char& it : aBytes) {
    recorder.Feed({ &it, 1 });
  }
  return recorder.Events();
}

/** Checks that a cut at any position of \a aBytes, and the arrival byte by
 * byte, leaves what is known when the bytes have arrived unchanged. */
template<typename RecorderType>
void CheckCuts(std::string_view aBytes)
{
  const std::string whole = EventsOf<RecorderType>({ aBytes });
  STRCMP_EQUAL(whole.c_str(), EventsByteByByte<RecorderType>(aBytes).c_str());
  for (std::size_t i = 1; i < aBytes.size(); ++i) {
    const auto head = aBytes.substr(0, i);
    const auto rest = aBytes.substr(i);
    STRCMP_EQUAL(whole.c_str(), EventsOf<RecorderType>({ head, rest }).c_str());
    for (std::size_t k = 1; k < rest.size(); ++k) {
      STRCMP_EQUAL(whole.c_str(), EventsOf<RecorderType>(
                                    { head, rest.substr(0, k), rest.substr(k) })
                                    .c_str());
    }
  }
}

/** Same, at each prefix of \a aBytes. */
template<typename RecorderType>
void CheckPrefixes(std::string_view aBytes)
{
  for (std::size_t n = 1; n <= aBytes.size(); ++n) {
    const auto prefix = aBytes.substr(0, n);
    const std::string whole = EventsOf<RecorderType>({ prefix });
    STRCMP_EQUAL(whole.c_str(), EventsByteByByte<RecorderType>(prefix).c_str());
    for (std::size_t i = 1; i < n; ++i) {
      STRCMP_EQUAL(whole.c_str(), EventsOf<RecorderType>(
                                    { prefix.substr(0, i), prefix.substr(i) })
                                    .c_str());
    }
  }
}

const std::string kGet = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kChunkedRequest =
  "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kChunkedResponse =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::vector<std::string> kRequests = {
  "GET / HTTP/1.1\r\n\r\n",
  "GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n",
  "GET /a HTTP/1.0\r\nHost: h\r\nX:\r\nY: folded\r\n value\r\n\r\n",
  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabc\r\n",
  kChunkedRequest + "0\r\n\r\n",
  kChunkedRequest + "0000\r\n\r\n",
  kChunkedRequest +
    "1\r\nX\r\n4;e=f\r\n\r\n\r\n\r\na\r\n0123456789\r\n0;e\r\nT: u\r\nV: "
    "w\r\n\r\n",
  kGet + "PUT /2 HTTP/1.1\r\nContent-Length: 1\r\n\r\nX" + kGet,
};

const std::vector<std::string> kResponses = {
  "HTTP/1.1 204 \r\n\r\n",
  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nab",
  "HTTP/1.1 200 OK\r\n\r\nabc\r\n",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
  kChunkedResponse + "0\r\n\r\n",
  kChunkedResponse + "3\r\nabc\r\n1\r\n\n\r\n0\r\nT: u\r\n\r\n",
};

const std::vector<std::string> kMalformedRequests = {
  "GET / HTTP/3.1\r\nHost: h\r\n\r\n",
  "GET / HTTP/1.1\r\nHo st: h\r\n\r\n",
  "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
  "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\ng\r\n\r\n",
  "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n\r\n",
};

/** Transfer codings and what is made of a request with them. */
const std::vector<std::pair<std::string, std::string>> kCodings = {
  { "Transfer-Encoding: gzip", "[malformed]" },
  { "Transfer-Encoding: identity", "[malformed]" },
  { "Transfer-Encoding: xchunked", "[malformed]" },
  { "Transfer-Encoding: chunked, gzip", "[malformed]" },
  { "Transfer-Encoding: chunked, chunked", "[unknown coding]" },
  { "Transfer-Encoding: gzip, chunked", "[unknown coding]" },
  { "Transfer-Encoding:", "[malformed]" },
  { "Transfer-Encoding: chunked;q=1", "[malformed]" },
  { "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked", "[malformed]" },
  { "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip", "[malformed]" },
  { "Transfer-Encoding: gzip\r\nContent-Length: 5", "[malformed]" },
  { "Content-Length: 5\r\nTransfer-Encoding: gzip", "[malformed]" },
};

} // namespace

TEST_GROUP(MessageReader){};

// Guards against a message that is not read, or is read otherwise, because of
// where the network cut it (third review, case 11: a head whose last byte
// arrives alone).
TEST(MessageReader, CutsDoNotChangeWhatIsRead)
{
  for (const std::string& it : kRequests) {
    CheckCuts<RequestRecorder>(it);
  }
  for (const std::string& it : kResponses) {
    CheckCuts<ResponseRecorder>(it);
  }
  for (const std::string& it : kMalformedRequests) {
    CheckCuts<RequestRecorder>(it);
  }
}

// Guards against bytes that have arrived and are held back until more follow.
TEST(MessageReader, WhatHasArrivedIsPassedOn)
{
  for (const std::string& it : kRequests) {
    CheckPrefixes<RequestRecorder>(it);
  }
  for (const std::string& it : kResponses) {
    CheckPrefixes<ResponseRecorder>(it);
  }
}

// Guards against a body of unknown length that is taken for the next message
// (third review, case 15).
TEST(MessageReader, BodiesOfUnknownCodingAreRefused)
{
  for (const auto& [fields, expected] : kCodings) {
    const std::string request = "POST /a HTTP/1.1\r\nHost: h\r\n" + fields +
                                "\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string response =
      "HTTP/1.1 200 OK\r\n" + fields + "\r\n\r\nHTTP/1.1 200 OK\r\n\r\n";
    STRCMP_EQUAL_TEXT(expected.c_str(),
                      EventsOf<RequestRecorder>({ request }).c_str(),
                      fields.c_str());
    STRCMP_EQUAL_TEXT(expected.c_str(),
                      EventsOf<ResponseRecorder>({ response }).c_str(),
                      fields.c_str());
    CheckCuts<RequestRecorder>(request);
    CheckCuts<ResponseRecorder>(response);
  }
  STRCMP_EQUAL("[malformed]",
               EventsOf<RequestRecorder>(
                 { "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "0\r\n\r\n" })
                 .c_str());
}
