#include "customers/Customers.h"

#include "base/test/support/Property.h"

#include <algorithm>

using namespace auburnmux;
using namespace auburnmux::customers;

namespace {

CustomerTable MakeTable()
{
  CustomerTable table;
  Customer customer;
  customer.mId = CustomerId("north");
  customer.mKeys = { "k1" };
  table.Add(customer);
  return table;
}

std::vector<base::RegionId> Regions(const std::vector<std::uint8_t>& aNumbers)
{
  std::vector<base::RegionId> regions;
  regions.reserve(aNumbers.size());
  for (const std::uint8_t it : aNumbers) {
    regions.emplace_back(std::to_string(it % 4));
  }
  return regions;
}

bool Contains(const std::vector<base::RegionId>& aRegions,
              const base::RegionId& aRegion)
{
  return std::find(aRegions.begin(), aRegions.end(), aRegion) != aRegions.end();
}

} // namespace

TEST_GROUP(Identification)
{
  CustomerTable mTable = MakeTable();
};

TEST(Identification, KnownKeyIdentifiesOnAnyRouteAndWithoutConfirmation)
{
  for (const bool allowsAnonymous : { false, true }) {
    for (const bool isConfirmed : { false, true }) {
      const auto result = Identify(mTable, allowsAnonymous, "k1", isConfirmed);
      const auto* identified = std::get_if<Identified>(&result);
      CHECK_TRUE(identified != nullptr);
      STRCMP_EQUAL("north", identified->mCustomer->mId.Text().c_str());
    }
  }
}

// Guards against refusing for good a key that was added while this host was
// out of touch.
TEST(Identification, UnknownKeyIsRefusedForGoodOnlyWhenConfirmed)
{
  for (const std::optional<std::string_view>& key :
       { std::optional<std::string_view>(), { "k2" }, { "" } }) {
    CHECK_TRUE(
      std::holds_alternative<UnknownKey>(Identify(mTable, false, key, true)));
    CHECK_TRUE(
      std::holds_alternative<Unconfirmed>(Identify(mTable, false, key, false)));
  }
}

TEST(Identification, UnknownOrMissingKeyIsAnonymousWhereTheRouteAllowsIt)
{
  for (const bool isConfirmed : { false, true }) {
    CHECK_TRUE(std::holds_alternative<Anonymous>(
      Identify(mTable, true, "k2", isConfirmed)));
    CHECK_TRUE(std::holds_alternative<Anonymous>(
      Identify(mTable, true, std::nullopt, isConfirmed)));
  }
}

// An empty table means that nobody has a key, not that none is needed.
TEST(Identification, EmptyTableIdentifiesNobody)
{
  CHECK_TRUE(std::holds_alternative<UnknownKey>(
    Identify(CustomerTable(), false, "k1", true)));
}

// Guards against a request that reaches a region which only one of the lists
// allows, and against a result without regions, which would allow all.
TEST(Identification, BothListsOfRegionsBind)
{
  CHECK_PROPERTY("a region is allowed if both lists allow it",
                 [](const std::vector<std::uint8_t>& aFirst,
                    const std::vector<std::uint8_t>& aSecond) {
                   const auto first = Regions(aFirst);
                   const auto second = Regions(aSecond);
                   const auto common = CommonRegions(first, second);
                   for (const base::RegionId& it : Regions({ 0, 1, 2, 3 })) {
                     const bool isAllowed =
                       (first.empty() || Contains(first, it)) &&
                       (second.empty() || Contains(second, it));
                     const bool isCommon =
                       common && (common->empty() || Contains(*common, it));
                     RC_ASSERT(isCommon == isAllowed);
                   }
                 });
}
