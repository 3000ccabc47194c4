#pragma once

#include <cstdint>
#include <functional>
#include <ostream>

namespace auburnmux::base {

/**
 * An integer whose type carries its unit or meaning. Quantities of the same
 * type can be added, subtracted and compared; mixing types doesn't compile.
 */
template<typename Tag, typename Value = std::uint64_t>
class Quantity
{
public:
  using ValueType = Value;

  constexpr Quantity() = default;
  constexpr explicit Quantity(Value aCount)
    : mCount(aCount)
  {
  }

  /** \returns the number in the unit of the type. */
  constexpr Value Count() const { return mCount; }

  friend constexpr bool operator==(Quantity aLeft, Quantity aRight)
  {
    return aLeft.mCount == aRight.mCount;
  }
  friend constexpr bool operator!=(Quantity aLeft, Quantity aRight)
  {
    return aLeft.mCount != aRight.mCount;
  }
  friend constexpr bool operator<(Quantity aLeft, Quantity aRight)
  {
    return aLeft.mCount < aRight.mCount;
  }
  friend constexpr bool operator<=(Quantity aLeft, Quantity aRight)
  {
    return aLeft.mCount <= aRight.mCount;
  }
  friend constexpr bool operator>(Quantity aLeft, Quantity aRight)
  {
    return aLeft.mCount > aRight.mCount;
  }
  friend constexpr bool operator>=(Quantity aLeft, Quantity aRight)
  {
    return aLeft.mCount >= aRight.mCount;
  }
  friend constexpr Quantity operator+(Quantity aLeft, Quantity aRight)
  {
    return Quantity(aLeft.mCount + aRight.mCount);
  }
  friend constexpr Quantity operator-(Quantity aLeft, Quantity aRight)
  {
    return Quantity(aLeft.mCount - aRight.mCount);
  }
  Quantity& operator+=(Quantity aOther)
  {
    mCount += aOther.mCount;
    return *this;
  }
  Quantity& operator-=(Quantity aOther)
  {
    mCount -= aOther.mCount;
    return *this;
  }
  friend std::ostream& operator<<(std::ostream& aOut, Quantity aQuantity)
  {
    return aOut << aQuantity.mCount;
  }

private:
  Value mCount{};
};

using ByteCount = Quantity<struct ByteCountTag>;
/** Number of requests that an upstream can run concurrently. */
using SlotCount = Quantity<struct SlotCountTag, std::uint32_t>;
using ConnectionCount = Quantity<struct ConnectionCountTag, std::uint32_t>;
/** Version of the published configuration; 0 means none. */
using ConfigVersion = Quantity<struct ConfigVersionTag>;
/** Start time of a host process in ms since the Unix epoch. */
using Incarnation = Quantity<struct IncarnationTag>;
/** Version of an object in the platform's object API; 0 means absent. */
using ObjectVersion = Quantity<struct ObjectVersionTag>;
using PortNumber = Quantity<struct PortNumberTag, std::uint16_t>;

} // namespace auburnmux::base

template<typename Tag, typename Value>
struct std::hash<auburnmux::base::Quantity<Tag, Value>>
{
  std::size_t operator()(auburnmux::base::Quantity<Tag, Value> aValue) const
  {
    return std::hash<Value>{}(aValue.Count());
  }
};
