#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnmux::http {

/** One header field; the name is in lower case and has no colon. */
struct Header
{
  std::string mName;
  std::string mValue;
};

/** The header fields of a message, in their order. */
class Headers
{
public:
  Headers() = default;
  Headers(std::initializer_list<Header> aFields)
    : mFields(aFields)
  {
  }

  /** \returns the value of the first field named \a aName (lower case). */
  std::optional<std::string_view> Find(std::string_view aName) const;
  const std::vector<Header>& Fields() const { return mFields; }

  /** Adds a field behind the others. */
  void Append(std::string aName, std::string aValue)
  {
    mFields.push_back({ std::move(aName), std::move(aValue) });
  }
  /** Replaces all fields named \a aName by one. */
  void Set(std::string_view aName, std::string_view aValue);
  void Remove(std::string_view aName);
  /** Removes the fields whose name meets \a aCondition. */
  template<typename Condition>
  void RemoveIf(Condition aCondition)
  {
    const auto isRemoved = [&aCondition](const Header& aHeader) {
      return aCondition(std::string_view(aHeader.mName));
    };
    mFields.erase(std::remove_if(mFields.begin(), mFields.end(), isRemoved),
                  mFields.end());
  }

private:
  std::vector<Header> mFields;
};

/** Appends `name: value` with a line end; drops fields with CR or LF. */
void AppendField(std::string& aOut, const Header& aHeader);

/** Removes the fields that apply to one connection only (RFC 9110 7.6.1),
 * those that the Connection field names included. */
void RemoveHopByHop(Headers& aHeaders);

/**
 * \returns whether RFC 9110 has \a aName (lower case) apply to one connection
 * only, so that it must not be forwarded.
 */
bool IsHopByHop(std::string_view aName);

} // namespace auburnmux::http
