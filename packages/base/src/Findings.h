#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace auburnmux::base {

/** Where in an operator's file something stands. Line and column from 1. */
struct Place
{
  std::string mFile;
  std::uint32_t mLine = 1;
  std::uint32_t mColumn = 1;
};

/** One problem in an operator's input. */
struct Finding
{
  Place mPlace;
  std::string mMessage;
};

std::ostream& operator<<(std::ostream& aOut, const Place& aPlace);
std::ostream& operator<<(std::ostream& aOut, const Finding& aFinding);

/** Collects findings so that all of them are reported in one pass. */
class Findings
{
public:
  void Add(Place aPlace, std::string aMessage);
  void Append(const Findings& aOther);

  bool IsEmpty() const { return mItems.empty(); }
  const std::vector<Finding>& Items() const { return mItems; }

  /** \returns one `file:line:column: message` line for each, in file order. */
  std::string Report() const;

private:
  std::vector<Finding> mItems;
};

} // namespace auburnmux::base
