#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace auburnmux::base {

/** Location in an operator's file; lines and columns start at 1. */
struct Place
{
  std::string mFile;
  std::uint32_t mLine = 1;
  std::uint32_t mColumn = 1;
};

/** One error in an operator's input, with its location. */
struct Finding
{
  Place mPlace;
  std::string mMessage;
};

std::ostream& operator<<(std::ostream& aOut, const Place& aPlace);
std::ostream& operator<<(std::ostream& aOut, const Finding& aFinding);

/** Collects findings so that all of them can be reported together. */
class Findings
{
public:
  void Add(Place aPlace, std::string aMessage);
  void Append(const Findings& aOther);

  bool IsEmpty() const { return mItems.empty(); }
  const std::vector<Finding>& Items() const { return mItems; }

  /** \returns one line `file:line:column: message` per finding, sorted by
   * location. */
  std::string Report() const;

private:
  std::vector<Finding> mItems;
};

} // namespace auburnmux::base
