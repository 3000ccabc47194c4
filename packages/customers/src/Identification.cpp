#include "customers/src/Identification.h"

#include <utility>

namespace auburnmux::customers {

Identification Identify(const CustomerTable& aTable, bool aAllowsAnonymous,
                        const std::optional<std::string_view>& aKey,
                        bool aIsConfirmed)
{
  if (auto customer = aKey ? aTable.Find(*aKey) : nullptr) {
    return Identified{ std::move(customer) };
  }
  if (aAllowsAnonymous) {
    return Anonymous{};
  }
  if (aIsConfirmed) {
    return UnknownKey{};
  }
  return Unconfirmed{};
}

} // namespace auburnmux::customers
