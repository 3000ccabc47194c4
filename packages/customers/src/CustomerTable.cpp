#include "customers/src/CustomerTable.h"

#include <utility>

namespace auburnmux::customers {

void CustomerTable::Add(Customer aCustomer)
{
  const auto customer = std::make_shared<const Customer>(std::move(aCustomer));
  mCustomers.push_back(customer);
  for (const std::string& it : customer->mKeys) {
    if (!it.empty() && it.size() <= kMaxKeyBytes) {
      mIndex.emplace(it, customer);
    }
  }
}

std::shared_ptr<const Customer> CustomerTable::Find(std::string_view aKey) const
{
  const auto it = mIndex.find(aKey);
  return it == mIndex.end() ? nullptr : it->second;
}

} // namespace auburnmux::customers
