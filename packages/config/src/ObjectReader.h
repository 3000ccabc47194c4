#pragma once

#include "base/Base.h"
#include "config/src/Endpoint.h"
#include "config/src/JsonValue.h"

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <vector>

namespace auburnmux::config {

/** Allowed values of a whole number, its unit, and its default. */
struct NumberRule
{
  std::uint64_t mMin;
  std::uint64_t mMax;
  const char* mUnit;
  std::optional<std::uint64_t> mDefault = std::nullopt;
};

/** Allowed values of a number with a fraction, its unit, and its default. */
struct DecimalRule
{
  double mMin;
  double mMax;
  const char* mUnit;
  std::optional<double> mDefault = std::nullopt;
};

/** How many elements a list may have; a list with minimum 0 is optional. */
struct CountRule
{
  std::size_t mMin;
  std::size_t mMax;
};

/** A file being read: its name and where its findings go. */
struct JsonSource
{
  const std::string& mFile;
  base::Findings& mFindings;

  base::Place At(JsonPosition aPosition) const
  {
    return { mFile, aPosition.mLine, aPosition.mColumn };
  }
  void Add(JsonPosition aPosition, std::string aMessage) const
  {
    mFindings.Add(At(aPosition), std::move(aMessage));
  }
};

/** \returns whether \a aText is a name: `[a-z]([a-z0-9-]*[a-z0-9])?`, at most
 * 63 bytes. */
bool IsName(const std::string& aText);

/** \returns whether \a aText is an IPv4 address in dotted form. */
bool IsAddress(const std::string& aText);

/**
 * Reads the members of one JSON object by key. A missing key without default,
 * a wrong type or a value outside its range becomes a finding, and the reader
 * goes on with the default or the lowest value, so that one pass finds all.
 */
class ObjectReader
{
public:
  /** \param aWhat names the object in messages, e.g. "upstream". */
  ObjectReader(const JsonValue& aValue, const JsonSource& aSource,
               std::string aWhat);

  /** \returns the place of the object. */
  base::Place At() const { return mSource.At(mPosition); }
  /** \returns the place of the value of \a aKey, or of the object. */
  base::Place At(const char* aKey) const;

  std::uint64_t Number(const char* aKey, const NumberRule& aRule);
  double Decimal(const char* aKey, const DecimalRule& aRule);

  /** Reads a base::Quantity. */
  template<typename Amount>
  Amount Quantity(const char* aKey, const NumberRule& aRule)
  {
    using Value = typename Amount::ValueType;
    return Amount(static_cast<Value>(Number(aKey, aRule)));
  }

  /** Reads a std::chrono duration of whole units. */
  template<typename Span>
  Span Time(const char* aKey, const NumberRule& aRule)
  {
    return Span(static_cast<typename Span::rep>(Number(aKey, aRule)));
  }

  /** \returns the text of \a aKey; the key is required without default. */
  std::string Text(const char* aKey, std::size_t aMaxLength,
                   const std::optional<std::string>& aDefault = std::nullopt);
  /** \returns a required name. \sa IsName */
  std::string Name(const char* aKey);
  /** \returns a required IPv4 address. */
  std::string Address(const char* aKey);
  /** \returns an endpoint from the keys "address" and "port". */
  Endpoint AddressAndPort();
  /** \returns the index of the text in \a aChoices; 0 after a finding. */
  std::size_t Choice(const char* aKey,
                     std::initializer_list<const char*> aChoices,
                     std::optional<std::size_t> aDefault = std::nullopt);

  /** \returns the elements of a list; empty after a finding. */
  const JsonValue::Array& List(const char* aKey, CountRule aRule);
  /** \returns the names in a list. */
  std::vector<std::string> NameList(const char* aKey, CountRule aRule);
  /** \returns the value of \a aKey, or null; a required one is a finding. */
  const JsonValue* Child(const char* aKey, bool aIsRequired);

  /** Reports the keys that were never asked for. Call it last. */
  void Finish();

private:
  const JsonMember* Find(const char* aKey);
  void Report(const JsonMember& aMember, const std::string& aExpected);
  void ReportMissing(const char* aKey);

  const JsonSource& mSource;
  JsonPosition mPosition;
  std::string mWhat;
  const JsonValue::Object* mMembers = nullptr;
  std::vector<const char*> mKnownKeys;
};

} // namespace auburnmux::config
