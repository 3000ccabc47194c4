#pragma once

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

  /** Replaces all fields named \a aName by one. */
  void Set(std::string_view aName, std::string_view aValue);
  void Remove(std::string_view aName);

private:
  std::vector<Header> mFields;
};

/**
 * \returns whether RFC 9110 has \a aName (lower case) apply to one connection
 * only, so that it must not be forwarded.
 */
bool IsHopByHop(std::string_view aName);

} // namespace auburnmux::http
