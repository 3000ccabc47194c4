#include "config/src/ObjectReader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <sstream>

namespace auburnmux::config {

namespace {

bool IsLower(char aCharacter)
{
  return aCharacter >= 'a' && aCharacter <= 'z';
}

bool IsDigit(char aCharacter)
{
  return aCharacter >= '0' && aCharacter <= '9';
}

/** Words a range for a message: "from 1 to 9 slots". */
template<typename Rule>
std::string RangeText(const Rule& aRule)
{
  std::ostringstream out;
  out << "from " << aRule.mMin << " to " << aRule.mMax << ' ' << aRule.mUnit;
  return out.str();
}

/** Shortens and cleans a text from a file for a message. */
std::string Quoted(const std::string& aText)
{
  constexpr std::size_t kMaxLength = 80;
  std::string text = aText.substr(0, kMaxLength);
  std::replace_if(
    text.begin(), text.end(),
    [](char aCharacter) {
      return static_cast<unsigned char>(aCharacter) < 0x20 ||
             aCharacter == 0x7f;
    },
    '?');
  return '"' + text + (aText.size() > kMaxLength ? "...\"" : "\"");
}

} // namespace

bool IsName(const std::string& aText)
{
  constexpr std::size_t kMaxLength = 63;
  const auto isPart = [](char aCharacter) {
    return IsLower(aCharacter) || IsDigit(aCharacter) || aCharacter == '-';
  };
  return !aText.empty() && aText.size() <= kMaxLength &&
         IsLower(aText.front()) && aText.back() != '-' &&
         std::all_of(aText.begin(), aText.end(), isPart);
}

bool IsAddress(const std::string& aText)
{
  in_addr address{};
  return inet_pton(AF_INET, aText.c_str(), &address) == 1 &&
         aText.find('\0') == std::string::npos;
}

ObjectReader::ObjectReader(const JsonValue& aValue, const JsonSource& aSource,
                           std::string aWhat)
  : mSource(aSource)
  , mPosition(aValue.mPosition)
  , mWhat(std::move(aWhat))
  , mMembers(std::get_if<JsonValue::Object>(&aValue.mData))
{
  if (mMembers == nullptr) {
    mSource.Add(mPosition, mWhat + " must be an object");
  }
}

base::Place ObjectReader::At(const char* aKey) const
{
  if (mMembers != nullptr) {
    for (const JsonMember& it : *mMembers) {
      if (it.mKey == aKey) {
        return mSource.At(it.mValue.mPosition);
      }
    }
  }
  return At();
}

std::uint64_t ObjectReader::Number(const char* aKey, const NumberRule& aRule)
{
  const JsonMember* member = Find(aKey);
  if (member == nullptr) {
    if (!aRule.mDefault) {
      ReportMissing(aKey);
    }
    return aRule.mDefault.value_or(aRule.mMin);
  }
  const auto* number = std::get_if<std::uint64_t>(&member->mValue.mData);
  if (number == nullptr || *number < aRule.mMin || *number > aRule.mMax) {
    Report(*member, "a whole number " + RangeText(aRule));
    return aRule.mDefault.value_or(aRule.mMin);
  }
  return *number;
}

double ObjectReader::Decimal(const char* aKey, const DecimalRule& aRule)
{
  const JsonMember* member = Find(aKey);
  if (member == nullptr) {
    if (!aRule.mDefault) {
      ReportMissing(aKey);
    }
    return aRule.mDefault.value_or(aRule.mMin);
  }
  const JsonValue::Data& data = member->mValue.mData;
  double number = aRule.mMin - 1;
  if (const auto* whole = std::get_if<std::uint64_t>(&data)) {
    number = static_cast<double>(*whole);
  } else if (const auto* decimal = std::get_if<double>(&data)) {
    number = *decimal;
  }
  if (!(number >= aRule.mMin && number <= aRule.mMax)) {
    Report(*member, "a number " + RangeText(aRule));
    return aRule.mDefault.value_or(aRule.mMin);
  }
  return number;
}

std::string ObjectReader::Text(const char* aKey, std::size_t aMaxLength,
                               const std::optional<std::string>& aDefault)
{
  const JsonMember* member = Find(aKey);
  if (member == nullptr) {
    if (!aDefault) {
      ReportMissing(aKey);
    }
    return aDefault.value_or("");
  }
  const auto* text = std::get_if<std::string>(&member->mValue.mData);
  if (text == nullptr || text->empty() || text->size() > aMaxLength) {
    Report(*member, "a text of 1 to " + std::to_string(aMaxLength) + " bytes");
    return aDefault.value_or("");
  }
  return *text;
}

std::string ObjectReader::Name(const char* aKey)
{
  const JsonMember* member = Find(aKey);
  if (member == nullptr) {
    ReportMissing(aKey);
    return "";
  }
  const auto* text = std::get_if<std::string>(&member->mValue.mData);
  if (text == nullptr || !IsName(*text)) {
    Report(*member, "a name of a-z, 0-9 and '-' that starts with a letter, "
                    "at most 63 bytes");
    return "";
  }
  return *text;
}

std::string ObjectReader::Address(const char* aKey)
{
  const JsonMember* member = Find(aKey);
  if (member == nullptr) {
    ReportMissing(aKey);
    return "";
  }
  const auto* text = std::get_if<std::string>(&member->mValue.mData);
  if (text == nullptr || !IsAddress(*text)) {
    Report(*member, "an IPv4 address such as \"10.1.2.3\"");
    return "";
  }
  return *text;
}

Endpoint ObjectReader::AddressAndPort()
{
  std::string address = Address("address");
  return { std::move(address),
           Quantity<base::PortNumber>("port", { 1, 65535, "(TCP port)" }) };
}

std::size_t ObjectReader::Choice(const char* aKey,
                                 std::initializer_list<const char*> aChoices,
                                 std::optional<std::size_t> aDefault)
{
  const JsonMember* member = Find(aKey);
  if (member == nullptr) {
    if (!aDefault) {
      ReportMissing(aKey);
    }
    return aDefault.value_or(0);
  }
  const auto* text = std::get_if<std::string>(&member->mValue.mData);
  std::string known;
  std::size_t n = 0;
  for (const char* it : aChoices) {
    if (text != nullptr && *text == it) {
      return n;
    }
    known += (n == 0 ? "\"" : ", \"") + std::string(it) + '"';
    ++n;
  }
  Report(*member, "one of " + known);
  return aDefault.value_or(0);
}

const JsonValue::Array& ObjectReader::List(const char* aKey, CountRule aRule)
{
  static const JsonValue::Array sEmpty;
  const JsonMember* member = Find(aKey);
  if (member == nullptr) {
    if (aRule.mMin > 0) {
      ReportMissing(aKey);
    }
    return sEmpty;
  }
  const auto* list = std::get_if<JsonValue::Array>(&member->mValue.mData);
  if (list == nullptr || list->size() < aRule.mMin ||
      list->size() > aRule.mMax) {
    Report(*member, "a list of " + std::to_string(aRule.mMin) + " to " +
                      std::to_string(aRule.mMax) + " elements");
    return sEmpty;
  }
  return *list;
}

std::vector<std::string> ObjectReader::NameList(const char* aKey,
                                                CountRule aRule)
{
  std::vector<std::string> names;
  for (const JsonValue& it : List(aKey, aRule)) {
    const auto* text = std::get_if<std::string>(&it.mData);
    if (text == nullptr || !IsName(*text)) {
      mSource.Add(it.mPosition, std::string(aKey) + " must hold names of a-z, "
                                                    "0-9 and '-'");
    } else {
      names.push_back(*text);
    }
  }
  return names;
}

const JsonValue* ObjectReader::Child(const char* aKey, bool aIsRequired)
{
  const JsonMember* member = Find(aKey);
  if (member == nullptr && aIsRequired) {
    ReportMissing(aKey);
  }
  return member == nullptr ? nullptr : &member->mValue;
}

void ObjectReader::Finish()
{
  if (mMembers == nullptr) {
    return;
  }
  for (const JsonMember& member : *mMembers) {
    const bool isKnown =
      std::any_of(mKnownKeys.begin(), mKnownKeys.end(),
                  [&](const char* aKey) { return member.mKey == aKey; });
    if (!isKnown) {
      std::string known;
      for (const char* it : mKnownKeys) {
        known += (known.empty() ? "" : ", ") + std::string(it);
      }
      mSource.Add(member.mPosition, "unknown key " + Quoted(member.mKey) +
                                      " in " + mWhat + "; known: " + known);
    }
  }
}

const JsonMember* ObjectReader::Find(const char* aKey)
{
  mKnownKeys.push_back(aKey);
  if (mMembers != nullptr) {
    for (const JsonMember& it : *mMembers) {
      if (it.mKey == aKey) {
        return &it;
      }
    }
  }
  return nullptr;
}

void ObjectReader::Report(const JsonMember& aMember,
                          const std::string& aExpected)
{
  mSource.Add(aMember.mValue.mPosition,
              aMember.mKey + " of " + mWhat + " must be " + aExpected);
}

void ObjectReader::ReportMissing(const char* aKey)
{
  if (mMembers != nullptr) {
    mSource.Add(mPosition, mWhat + " needs the key \"" + aKey + '"');
  }
}

} // namespace auburnmux::config
