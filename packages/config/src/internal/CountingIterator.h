#pragma once

#include "config/src/JsonValue.h"

#include <cstddef>
#include <iterator>

namespace auburnmux::config::internal {

/**
 * Follows the characters that the JSON lexer consumes and remembers where the
 * last string, scalar and opening bracket start. The lexer reads one character
 * past a number, which never starts a token of the same kind, so that the
 * start for each kind is still right when the parser reports the token.
 */
class TokenTracker
{
public:
  void Consume(char aCharacter)
  {
    mLast = mNext;
    if (aCharacter == '\n') {
      ++mNext.mLine;
      mNext.mColumn = 1;
    } else {
      ++mNext.mColumn;
    }
    if (mIsInString) {
      ConsumeInString(aCharacter);
    } else {
      ConsumeOutside(aCharacter);
    }
  }

  JsonPosition LastString() const { return mString; }
  JsonPosition LastScalar() const { return mScalar; }
  JsonPosition LastBracket() const { return mBracket; }
  /** \returns the position of the character consumed last. */
  JsonPosition Last() const { return mLast; }

private:
  void ConsumeInString(char aCharacter)
  {
    if (mIsEscaped) {
      mIsEscaped = false;
    } else if (aCharacter == '\\') {
      mIsEscaped = true;
    } else if (aCharacter == '"') {
      mIsInString = false;
    }
  }

  void ConsumeOutside(char aCharacter)
  {
    bool isScalar = false;
    switch (aCharacter) {
      case '"':
        mIsInString = true;
        mString = mLast;
        break;
      case '{':
      case '[':
        mBracket = mLast;
        break;
      case '}':
      case ']':
      case ',':
      case ':':
      case ' ':
      case '\t':
      case '\r':
      case '\n':
        break;
      default:
        isScalar = true;
    }
    if (isScalar && !mIsInScalar) {
      mScalar = mLast;
    }
    mIsInScalar = isScalar;
  }

  JsonPosition mNext;
  JsonPosition mLast;
  JsonPosition mString;
  JsonPosition mScalar;
  JsonPosition mBracket;
  bool mIsInString = false;
  bool mIsEscaped = false;
  bool mIsInScalar = false;
};

/** Input iterator over a text that reports each character to a tracker. */
class CountingIterator
{
public:
  using iterator_category = std::input_iterator_tag; // NOLINT
  using value_type = char;                           // NOLINT
  using difference_type = std::ptrdiff_t;            // NOLINT
  using pointer = const char*;                       // NOLINT
  using reference = const char&;                     // NOLINT

  CountingIterator(const char* aAt, TokenTracker* aTracker)
    : mAt(aAt)
    , mTracker(aTracker)
  {
  }

  reference operator*() const { return *mAt; }
  CountingIterator& operator++()
  {
    mTracker->Consume(*mAt);
    ++mAt;
    return *this;
  }
  CountingIterator operator++(int)
  {
    CountingIterator it = *this;
    ++*this;
    return it;
  }
  friend bool operator==(const CountingIterator& aLeft,
                         const CountingIterator& aRight)
  {
    return aLeft.mAt == aRight.mAt;
  }
  friend bool operator!=(const CountingIterator& aLeft,
                         const CountingIterator& aRight)
  {
    return aLeft.mAt != aRight.mAt;
  }

private:
  const char* mAt;
  TokenTracker* mTracker;
};

} // namespace auburnmux::config::internal
