#include "http/src/MessageReader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <cctype>
#include <limits>
#include <utility>

namespace auburnmux::http::internal {

namespace {

namespace beast = boost::beast;
using beast::http::basic_parser;
using ErrorCode = beast::error_code;

std::string ToLower(beast::string_view aText)
{
  std::string out(aText.data(), aText.size());
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return out;
}

/**
 * Length of the shortest last chunk with its empty trailer. Once Beast's parser
 * has seen the line of the last chunk, it must not be called again with less.
 */
constexpr std::size_t kLastChunkBytes = std::string_view("0\r\n\r\n").size();

// The first version of HTTP with transfer codings.
constexpr int kFirstVersionWithCodings = 11;

// Responses with another status are malformed. Those below the final ones are
// interim responses.
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

/** \returns whether chunks are the last of the codings in \a aValue. */
bool EndsInChunked(std::string_view aValue)
{
  const std::size_t comma = aValue.rfind(',');
  const std::size_t start = aValue.find_first_not_of(
    " \t", comma == std::string_view::npos ? 0 : comma + 1);
  return start != std::string_view::npos &&
         beast::iequals({ aValue.data() + start, aValue.size() - start },
                        "chunked");
}

/** Stores the head of one message and passes its body to a BodySink. */
template<bool IsRequest>
class CollectingParser : public basic_parser<IsRequest>
{
public:
  explicit CollectingParser(base::ByteCount aMaxHead)
    : mMaxHead(aMaxHead)
  {
    this->header_limit(static_cast<std::uint32_t>(std::min<std::uint64_t>(
      aMaxHead.Count(), std::numeric_limits<std::uint32_t>::max())));
    this->body_limit(boost::none); // the user of the reader limits the body
  }

  ReadStep Advance(std::string_view aBytes, BodySink& aSink)
  {
    if (aBytes.size() < mMinInput) {
      return {};
    }
    mSink = &aSink;
    const bool hadHead = this->is_header_done();
    this->eager(hadHead);
    ErrorCode error;
    ReadStep step;
    if (!this->is_done()) {
      step.mConsumed =
        this->put(boost::asio::buffer(aBytes.data(), aBytes.size()), error);
    }
    step.mState = StateAfter(error, hadHead);
    const bool isStalled =
      step.mState == ReadState::NeedsMore && step.mConsumed == 0;
    mMinInput = isStalled ? MinInputAfter(aBytes, hadHead) : 0;
    if (isStalled && hadHead && aBytes.size() > mMaxHead.Count()) {
      step.mState = ReadState::Malformed; // a chunk header or trailer too long
    }
    return step;
  }

  ReadState HandleEof()
  {
    ErrorCode error;
    this->put_eof(error);
    return error || !this->is_done() ? ReadState::Malformed
                                     : ReadState::Complete;
  }

  std::optional<base::ByteCount> Length() const
  {
    const auto n = this->content_length();
    return n ? std::optional(base::ByteCount(*n)) : std::nullopt;
  }

  int mStatus = 0;
  std::string mMethod;
  std::string mTarget;
  Headers mHeaders;

private:
  /** \returns the size of the input with which to call the parser again after
   * it consumed nothing of \a aUnused. */
  static std::size_t MinInputAfter(std::string_view aUnused, bool aHasHead)
  {
    const bool mayHaveLastChunk =
      aHasHead && aUnused.find('\n') != std::string_view::npos;
    return std::max(aUnused.size() + 1,
                    mayHaveLastChunk ? kLastChunkBytes : std::size_t{ 0 });
  }

  /**
   * Refuses bodies whose length the parser doesn't know, or whose coding would
   * be lost: chunks are the only coding that is removed here (RFC 9112, 6.1 and
   * 6.3). A message that names another one would end behind its head, and its
   * body would be taken for the next message.
   */
  void CheckTransferCoding(beast::string_view aValue, ErrorCode& aError)
  {
    const std::string_view value(aValue.data(), aValue.size());
    const bool isChunked = beast::iequals(aValue, "chunked");
    const bool isRepeated = std::exchange(mHasTransferCoding, true);
    if (isChunked && !isRepeated && mVersion >= kFirstVersionWithCodings) {
      return;
    }
    aError = beast::http::error::bad_transfer_encoding;
    // With the chunks last, the length would be known, but not the content.
    mHasUnknownCoding = !isRepeated && mVersion >= kFirstVersionWithCodings &&
                        EndsInChunked(value);
  }

  ReadState StateAfter(const ErrorCode& aError, bool aHadHead) const
  {
    if (aError == beast::http::error::header_limit) {
      return ReadState::HeadTooLong;
    }
    if (aError && mHasUnknownCoding) {
      return ReadState::UnknownCoding;
    }
    if (aError && aError != beast::http::error::need_more) {
      return ReadState::Malformed;
    }
    if (!aHadHead && this->is_header_done()) {
      return ReadState::HeadDone;
    }
    return this->is_done() ? ReadState::Complete : ReadState::NeedsMore;
  }

  // The names below are Beast's. NOLINTBEGIN(readability-identifier-naming)
  void on_request_impl(beast::http::verb /*aVerb*/, beast::string_view aMethod,
                       beast::string_view aTarget, int aVersion,
                       ErrorCode& /*aError*/) override
  {
    mVersion = aVersion;
    mMethod.assign(aMethod.data(), aMethod.size());
    mTarget.assign(aTarget.data(), aTarget.size());
  }
  void on_response_impl(int aCode, beast::string_view /*aReason*/, int aVersion,
                        ErrorCode& aError) override
  {
    mVersion = aVersion;
    mStatus = aCode;
    if (aCode < kMinStatus || aCode > kMaxStatus) {
      aError = beast::http::error::bad_status;
    }
  }
  void on_field_impl(beast::http::field aField, beast::string_view aName,
                     beast::string_view aValue, ErrorCode& aError) override
  {
    if (aField == beast::http::field::transfer_encoding) {
      CheckTransferCoding(aValue, aError);
    }
    mHeaders.Append(ToLower(aName), { aValue.data(), aValue.size() });
  }
  void on_header_impl(ErrorCode& /*aError*/) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>& /*aLength*/,
                         ErrorCode& /*aError*/) override
  {
  }
  std::size_t on_body_impl(beast::string_view aBody,
                           ErrorCode& /*aError*/) override
  {
    mSink->OnBodyPart({ aBody.data(), aBody.size() });
    return aBody.size();
  }
  void on_chunk_header_impl(std::uint64_t /*aSize*/,
                            beast::string_view /*aExtensions*/,
                            ErrorCode& /*aError*/) override
  {
  }
  std::size_t on_chunk_body_impl(std::uint64_t /*aRemain*/,
                                 beast::string_view aBody,
                                 ErrorCode& aError) override
  {
    return on_body_impl(aBody, aError);
  }
  void on_finish_impl(ErrorCode& /*aError*/) override {}
  // NOLINTEND(readability-identifier-naming)

  int mVersion = 0;
  bool mHasTransferCoding = false;
  bool mHasUnknownCoding = false;
  base::ByteCount mMaxHead;
  /** Size below which the parser would not consume any of the next input. */
  std::size_t mMinInput = 0;
  BodySink* mSink = nullptr;
};

} // namespace

struct RequestReader::Impl : CollectingParser<true>
{
  using CollectingParser::CollectingParser;
};

RequestReader::RequestReader(base::ByteCount aMaxHead)
  : mImpl(std::make_unique<Impl>(aMaxHead))
{
}

RequestReader::~RequestReader() = default;

ReadStep RequestReader::Read(std::string_view aBytes, BodySink& aSink)
{
  return mImpl->Advance(aBytes, aSink);
}

RequestHead RequestReader::TakeHead()
{
  RequestHead head;
  head.mMethod = std::move(mImpl->mMethod);
  const std::size_t n = mImpl->mTarget.find('?');
  head.mPath = mImpl->mTarget.substr(0, n);
  if (n != std::string::npos) {
    head.mQuery = mImpl->mTarget.substr(n + 1);
  }
  head.mHeaders = std::move(mImpl->mHeaders);
  head.mIsChunked = mImpl->chunked();
  head.mContentLength = mImpl->Length();
  return head;
}

bool RequestReader::KeepsAlive() const
{
  return mImpl->keep_alive();
}

struct ResponseReader::Impl : CollectingParser<false>
{
  using CollectingParser::CollectingParser;
};

ResponseReader::ResponseReader(base::ByteCount aMaxHead, bool aHasNoBody)
  : mImpl(std::make_unique<Impl>(aMaxHead))
{
  mImpl->skip(aHasNoBody);
}

ResponseReader::~ResponseReader() = default;

ReadStep ResponseReader::Read(std::string_view aBytes, BodySink& aSink)
{
  return mImpl->Advance(aBytes, aSink);
}

ReadState ResponseReader::ReadEnd()
{
  return mImpl->HandleEof();
}

ResponseHead ResponseReader::TakeHead()
{
  ResponseHead head;
  head.mStatus = mImpl->mStatus;
  head.mHeaders = std::move(mImpl->mHeaders);
  head.mContentLength = mImpl->Length();
  return head;
}

bool ResponseReader::EndsWithConnection() const
{
  return mImpl->need_eof();
}

bool ResponseReader::KeepsAlive() const
{
  return mImpl->keep_alive();
}

} // namespace auburnmux::http::internal
