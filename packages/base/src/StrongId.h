#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace auburnmux::base {

/**
 * A text identifier with a distinct type per kind of object, so that a host id
 * can't be passed where an upstream id is expected.
 */
template<typename Tag>
class StrongId
{
public:
  StrongId() = default;
  explicit StrongId(std::string aText)
    : mText(std::move(aText))
  {
  }

  /** \returns the identifier as text; empty when unset. */
  const std::string& Text() const { return mText; }
  bool IsEmpty() const { return mText.empty(); }

  friend bool operator==(const StrongId& aLeft, const StrongId& aRight)
  {
    return aLeft.mText == aRight.mText;
  }
  friend bool operator!=(const StrongId& aLeft, const StrongId& aRight)
  {
    return aLeft.mText != aRight.mText;
  }
  friend bool operator<(const StrongId& aLeft, const StrongId& aRight)
  {
    return aLeft.mText < aRight.mText;
  }
  friend std::ostream& operator<<(std::ostream& aOut, const StrongId& aId)
  {
    return aOut << aId.mText;
  }

private:
  std::string mText;
};

using HostId = StrongId<struct HostIdTag>;
using DataCentreId = StrongId<struct DataCentreIdTag>;
using RegionId = StrongId<struct RegionIdTag>;
using ServiceId = StrongId<struct ServiceIdTag>;
using UpstreamId = StrongId<struct UpstreamIdTag>;

} // namespace auburnmux::base

template<typename Tag>
struct std::hash<auburnmux::base::StrongId<Tag>>
{
  std::size_t operator()(const auburnmux::base::StrongId<Tag>& aId) const
  {
    return std::hash<std::string>{}(aId.Text());
  }
};
