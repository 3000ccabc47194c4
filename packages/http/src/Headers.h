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

/** The header fields of a message, in the order of the message. */
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

  /** Appends a field. */
  void Append(std::string aName, std::string aValue)
  {
    mFields.push_back({ std::move(aName), std::move(aValue) });
  }
  /** Removes all fields named \a aName and appends a new one. */
  void Set(std::string_view aName, std::string_view aValue);
  void Remove(std::string_view aName);
  /** Removes the fields whose name satisfies \a aCondition. */
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

/** Appends `name: value` and CRLF; ignores fields that contain CR or LF. */
void AppendField(std::string& aOut, const Header& aHeader);

/** Removes the hop-by-hop fields (RFC 9110 7.6.1), including those that the
 * Connection field lists. */
void RemoveHopByHop(Headers& aHeaders);

/**
 * \returns whether RFC 9110 defines \a aName (lower case) as a hop-by-hop
 * field, which applies to one connection only and must not be forwarded.
 */
bool IsHopByHop(std::string_view aName);

} // namespace auburnmux::http
