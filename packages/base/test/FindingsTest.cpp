#include "base/Base.h"

#include "base/test/support/Property.h"

using auburnmux::base::Findings;
using auburnmux::base::LogLine;

TEST_GROUP(Findings){};

// Guards against lost findings and reports that aren't sorted by location.
TEST(Findings, ReportListsAllSortedByLocation)
{
  Findings findings;
  findings.Add({ "b.json", 2, 1 }, "second file");
  findings.Add({ "a.json", 7, 3 }, "later line");
  findings.Add({ "a.json", 1, 9 }, "first line");
  STRCMP_EQUAL("a.json:1:9: first line\n"
               "a.json:7:3: later line\n"
               "b.json:2:1: second file\n",
               findings.Report().c_str());
}

TEST_GROUP(LogLine){};

// Guards against log lines forged through external values.
TEST(LogLine, ControlCharactersNeverBreakALine)
{
  CHECK_PROPERTY("one event is one line", [](const std::string& aValue) {
    const std::string text = LogLine("test").With("key", aValue).Text();
    RC_ASSERT(text.find('\n') == std::string::npos);
    RC_ASSERT(text.find('\r') == std::string::npos);
  });
}

TEST(LogLine, QuotesValuesWithSpaces)
{
  const LogLine line = LogLine("start").With("reason", "a \"b\"");
  STRCMP_EQUAL("event=start reason=\"a \\\"b\\\"\"", line.Text().c_str());
}
