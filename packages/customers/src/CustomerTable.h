#pragma once

#include "customers/src/Customer.h"

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburnmux::customers {

/** The customers of a configuration, indexed by key. */
class CustomerTable
{
public:
  /** Longest key that identifies a customer. */
  static constexpr std::size_t kMaxKeyBytes = 256;

  /** Adds a customer. A key that another customer has already stays with that
   * one; the configuration reader refuses such a table. */
  void Add(Customer aCustomer);

  /**
   * Compares keys as bytes.
   * \returns the customer, or null; the pointer stays valid after the table is
   * replaced. No customer has an empty key or one above kMaxKeyBytes.
   */
  std::shared_ptr<const Customer> Find(std::string_view aKey) const;
  const std::vector<std::shared_ptr<const Customer>>& Customers() const
  {
    return mCustomers;
  }
  std::size_t Size() const { return mCustomers.size(); }

private:
  std::vector<std::shared_ptr<const Customer>> mCustomers;
  /** The keys refer to the strings of the customers. */
  std::unordered_map<std::string_view, std::shared_ptr<const Customer>> mIndex;
};

} // namespace auburnmux::customers
