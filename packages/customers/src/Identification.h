#pragma once

#include "customers/src/CustomerTable.h"

#include <memory>
#include <optional>
#include <string_view>
#include <variant>

namespace auburnmux::customers {

/** The request needs no key and has no known one. */
struct Anonymous
{};

/** The key belongs to a customer. */
struct Identified
{
  std::shared_ptr<const Customer> mCustomer;
};

/** No customer has the key, or the request has none. */
struct UnknownKey
{};

/** The key is unknown here, but the configuration may be outdated. */
struct Unconfirmed
{};

using Identification =
  std::variant<Anonymous, Identified, UnknownKey, Unconfirmed>;

/**
 * Identifies the customer of a request.
 * \param aAllowsAnonymous whether its route needs no key
 * \param aKey none if the request has no usable key
 * \param aIsConfirmed whether the table was recently confirmed to be current
 */
Identification Identify(const CustomerTable& aTable, bool aAllowsAnonymous,
                        const std::optional<std::string_view>& aKey,
                        bool aIsConfirmed);

} // namespace auburnmux::customers
