#include "config/src/internal/JsonTreeBuilder.h"

#include <algorithm>
#include <utility>

namespace auburnmux::config::internal {

namespace {

/** Drops the library's own position and hides bytes that aren't printable. */
std::string CleanMessage(const std::string& aMessage)
{
  constexpr std::size_t kMaxLength = 200;
  std::string text = aMessage;
  const std::size_t column = text.find(", column ");
  const std::size_t start =
    column == std::string::npos ? text.find("] ") : text.find(": ", column);
  if (start != std::string::npos) {
    text.erase(0, start + 2);
  }
  std::replace_if(
    text.begin(), text.end(),
    [](char aCharacter) { return aCharacter < 0x20 || aCharacter > 0x7e; },
    '?');
  if (text.size() > kMaxLength) {
    text.resize(kMaxLength);
    text += "...";
  }
  return text;
}

} // namespace

JsonTreeBuilder::JsonTreeBuilder(const std::string& aFile,
                                 const JsonBounds& aBounds,
                                 const TokenTracker& aTracker,
                                 base::Findings& aFindings)
  : mFile(aFile)
  , mBounds(aBounds)
  , mTracker(aTracker)
  , mFindings(aFindings)
{
}

bool JsonTreeBuilder::null()
{
  return Put(mTracker.LastScalar(), nullptr);
}

bool JsonTreeBuilder::boolean(bool aValue)
{
  return Put(mTracker.LastScalar(), aValue);
}

bool JsonTreeBuilder::number_integer(std::int64_t aValue)
{
  return Put(mTracker.LastScalar(), aValue);
}

bool JsonTreeBuilder::number_unsigned(std::uint64_t aValue)
{
  return Put(mTracker.LastScalar(), aValue);
}

bool JsonTreeBuilder::number_float(double aValue, const std::string& /*aText*/)
{
  return Put(mTracker.LastScalar(), aValue);
}

bool JsonTreeBuilder::string(std::string& aValue)
{
  if (aValue.size() > mBounds.mString.Count()) {
    return Fail(mTracker.LastString(),
                "text is longer than " +
                  std::to_string(mBounds.mString.Count()) + " bytes");
  }
  return Put(mTracker.LastString(), std::move(aValue));
}

bool JsonTreeBuilder::binary(nlohmann::json::binary_t& /*aValue*/)
{
  return Fail(mTracker.Last(), "binary values are not allowed");
}

bool JsonTreeBuilder::start_object(std::size_t /*aSize*/)
{
  return Open(JsonValue::Object{});
}

bool JsonTreeBuilder::key(std::string& aKey)
{
  const JsonPosition position = mTracker.LastString();
  auto& members = std::get<JsonValue::Object>(mOpen.back()->mData);
  if (members.size() >= mBounds.mMembersOfObject) {
    return Fail(position, "object has more than " +
                            std::to_string(mBounds.mMembersOfObject) + " keys");
  }
  if (aKey.size() > mBounds.mString.Count()) {
    return Fail(position, "key is longer than " +
                            std::to_string(mBounds.mString.Count()) + " bytes");
  }
  const auto first = std::find_if(
    members.begin(), members.end(),
    [&aKey](const JsonMember& aMember) { return aMember.mKey == aKey; });
  if (first != members.end()) {
    mFindings.Add({ mFile, position.mLine, position.mColumn },
                  "key \"" + aKey + "\" is doubled; first on line " +
                    std::to_string(first->mPosition.mLine));
  }
  members.push_back({ std::move(aKey), position, {} });
  return true;
}

bool JsonTreeBuilder::end_object()
{
  mOpen.pop_back();
  return true;
}

bool JsonTreeBuilder::start_array(std::size_t /*aSize*/)
{
  return Open(JsonValue::Array{});
}

bool JsonTreeBuilder::end_array()
{
  mOpen.pop_back();
  return true;
}

bool JsonTreeBuilder::parse_error(std::size_t /*aOffset*/,
                                  const std::string& /*aToken*/,
                                  const nlohmann::json::exception& aError)
{
  return Fail(mTracker.Last(), CleanMessage(aError.what()));
}

std::optional<JsonValue> JsonTreeBuilder::TakeRoot()
{
  return std::move(mRoot);
}

bool JsonTreeBuilder::Open(JsonValue::Data aEmpty)
{
  if (mOpen.size() >= mBounds.mDepth) {
    return Fail(mTracker.LastBracket(), "nested deeper than " +
                                          std::to_string(mBounds.mDepth) +
                                          " levels");
  }
  if (!Put(mTracker.LastBracket(), std::move(aEmpty))) {
    return false;
  }
  mOpen.push_back(mLastPut);
  return true;
}

bool JsonTreeBuilder::Put(JsonPosition aPosition, JsonValue::Data aData)
{
  if (++mValues > mBounds.mValues) {
    return Fail(aPosition, "file has more than " +
                             std::to_string(mBounds.mValues) + " values");
  }
  JsonValue value{ aPosition, std::move(aData) };
  if (mOpen.empty()) {
    mRoot = std::move(value);
    mLastPut = &*mRoot;
    return true;
  }
  return PutElement(*mOpen.back(), std::move(value));
}

bool JsonTreeBuilder::PutElement(JsonValue& aParent, JsonValue aValue)
{
  if (auto* members = std::get_if<JsonValue::Object>(&aParent.mData)) {
    members->back().mValue = std::move(aValue);
    mLastPut = &members->back().mValue;
    return true;
  }
  auto& elements = std::get<JsonValue::Array>(aParent.mData);
  if (elements.size() >= mBounds.mElementsOfArray) {
    return Fail(aValue.mPosition, "array has more than " +
                                    std::to_string(mBounds.mElementsOfArray) +
                                    " elements");
  }
  elements.push_back(std::move(aValue));
  mLastPut = &elements.back();
  return true;
}

bool JsonTreeBuilder::Fail(JsonPosition aPosition, std::string aMessage)
{
  mFindings.Add({ mFile, aPosition.mLine, aPosition.mColumn },
                std::move(aMessage));
  return false;
}

} // namespace auburnmux::config::internal
