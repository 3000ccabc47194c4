#include "customers/Customers.h"

#include "base/test/support/Property.h"

#include <map>

using namespace auburnmux;
using namespace auburnmux::customers;

namespace {

Customer MakeCustomer(const char* aName, std::vector<std::string> aKeys)
{
  Customer customer;
  customer.mId = CustomerId(aName);
  customer.mKeys = std::move(aKeys);
  return customer;
}

} // namespace

TEST_GROUP(CustomerTable){};

// Guards against a request that loses its customer when the configuration
// changes while it is under way.
TEST(CustomerTable, CustomerOutlivesItsTable)
{
  std::shared_ptr<const Customer> customer;
  {
    CustomerTable table;
    table.Add(MakeCustomer("north", { "k1", "k2" }));
    customer = table.Find("k2");
  }
  STRCMP_EQUAL("north", customer->mId.Text().c_str());
  STRCMP_EQUAL("k2", customer->mKeys[1].c_str());
}

// Guards against an index that refers to the strings of the table that it was
// copied from.
TEST(CustomerTable, CopyDoesNotDependOnItsOriginal)
{
  auto original = std::make_unique<CustomerTable>();
  original->Add(MakeCustomer("north", { "k1" }));
  const CustomerTable copy = *original;
  original.reset();
  STRCMP_EQUAL("north", copy.Find("k1")->mId.Text().c_str());
}

TEST(CustomerTable, EmptyAndOverlongKeysIdentifyNobody)
{
  const std::string longest(CustomerTable::kMaxKeyBytes, 'k');
  CustomerTable table;
  table.Add(MakeCustomer("north", { "", longest, longest + 'k' }));
  CHECK_TRUE(table.Find("") == nullptr);
  CHECK_TRUE(table.Find(longest) != nullptr);
  CHECK_TRUE(table.Find(longest + 'k') == nullptr);
}

// Guards against keys that are compared without their case, or only up to a
// zero byte.
TEST(CustomerTable, KeysAreComparedAsBytes)
{
  CHECK_PROPERTY("only equal bytes find the customer",
                 [](const std::string& aKey, const std::string& aOther) {
                   const std::string key = "k" + aKey;
                   const std::string other = "k" + aOther;
                   CustomerTable table;
                   table.Add(MakeCustomer("north", { key }));
                   RC_ASSERT(table.Find(key) != nullptr);
                   RC_ASSERT((table.Find(other) != nullptr) == (key == other));
                 });
  CustomerTable table;
  table.Add(MakeCustomer("north", { "Key" }));
  CHECK_TRUE(table.Find("key") == nullptr);
  CHECK_TRUE(table.Find(std::string_view("Key\0", 4)) == nullptr);
}
