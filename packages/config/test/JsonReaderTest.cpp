#include "config/src/JsonReader.h"

#include "base/test/support/Property.h"
#include "config/test/support/Samples.h"

using namespace auburnmux;
using config::ReadJson;

namespace {

std::string ReportOf(const std::string& aText,
                     const config::JsonBounds& aBounds = {})
{
  base::Findings findings;
  ReadJson(aText, "f", findings, aBounds);
  return findings.Report();
}

} // namespace

TEST_GROUP(JsonReader){};

// Guards against findings that point at the wrong line or column.
TEST(JsonReader, GivesEachKeyAndValueItsPosition)
{
  base::Findings findings;
  const auto root =
    ReadJson("{ \"a\": 12,\n  \"b\\\"\" : [true, {}, \"x\"]\n}", "f", findings);
  CHECK_TRUE(root && findings.IsEmpty());
  const auto& members = std::get<config::JsonValue::Object>(root->mData);
  const auto check = [](config::JsonPosition aPosition, unsigned aLine,
                        unsigned aColumn) {
    LONGS_EQUAL(aLine, aPosition.mLine);
    LONGS_EQUAL(aColumn, aPosition.mColumn);
  };
  check(root->mPosition, 1, 1);
  check(members[0].mPosition, 1, 3);
  check(members[0].mValue.mPosition, 1, 8);
  check(members[1].mPosition, 2, 3);
  const auto& list =
    std::get<config::JsonValue::Array>(members[1].mValue.mData);
  check(members[1].mValue.mPosition, 2, 11);
  check(list[0].mPosition, 2, 12);
  check(list[1].mPosition, 2, 18);
  check(list[2].mPosition, 2, 22);
}

// Guards against a doubled key silently replacing the first.
TEST(JsonReader, ReportsDoubledKeys)
{
  STRCMP_EQUAL("f:2:1: key \"a\" is doubled; first on line 1\n",
               ReportOf("{\"a\":1,\n\"a\":2}").c_str());
}

// Guards against syntax errors without a usable place.
TEST(JsonReader, ReportsTheFirstSyntaxError)
{
  const std::string report = ReportOf("{\n  \"a\": 1,,\n}");
  STRCMP_CONTAINS("f:2:10: syntax error", report.c_str());
}

// Guards against input that makes the reader use unbounded memory or stack.
TEST(JsonReader, RefusesInputPastItsBounds)
{
  config::JsonBounds bounds;
  bounds.mText = base::ByteCount{ 100 };
  bounds.mDepth = 3;
  bounds.mValues = 9;
  bounds.mMembersOfObject = 2;
  bounds.mElementsOfArray = 4;
  bounds.mString = base::ByteCount{ 5 };
  for (const char* it :
       { "[[[[1]]]]", "[[1,1,1],[1,1,1],[1]]", "{\"a\":1,\"b\":2,\"c\":3}",
         "[1,2,3,4,5]", "\"123456\"", "{\"123456\":1}" }) {
    CHECK_FALSE(ReportOf(it, bounds).empty());
  }
  CHECK_FALSE(ReportOf(std::string(101, ' '), bounds).empty());
  CHECK_TRUE(ReportOf("[[[1],2]]", bounds).empty());
}

// Guards against a throw or a crash on hostile bytes from a peer.
TEST(JsonReader, NeverThrowsOnDamagedInput)
{
  CHECK_PROPERTY("damage gives findings or a value", []() {
    std::string text = *rc::gen::element(
      config::test::kTopology, config::test::kService, config::test::kHost);
    const int edits = *rc::gen::inRange(1, 6);
    for (int it = 0; it < edits && !text.empty(); ++it) {
      const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
      if (*rc::gen::arbitrary<bool>()) {
        text[at] = *rc::gen::arbitrary<char>();
      } else {
        text.erase(at, *rc::gen::inRange<std::size_t>(1, 40));
      }
    }
    config::ParseReport report;
    config::ParseTopologyFile(text, "f", report);
    config::ParseServiceFile(text, "f", report);
    config::ParseHostSettings(text, "f", report);
    RC_ASSERT(!report.IsGood());
    config::DecodeSnapshot(text);
  });
  for (const char* it : { "", "1e999", "\"\\ud800\"", "nul", "\xff", "{", "[1,",
                          "-", "\"", "99999999999999999999" }) {
    config::ParseReport report;
    config::ParseServiceFile(it, "f", report);
    CHECK_FALSE(report.IsGood());
  }
}
