#include "base/src/Findings.h"

#include <algorithm>
#include <sstream>
#include <tuple>
#include <utility>

namespace auburnmux::base {

std::ostream& operator<<(std::ostream& aOut, const Place& aPlace)
{
  return aOut << aPlace.mFile << ':' << aPlace.mLine << ':' << aPlace.mColumn;
}

std::ostream& operator<<(std::ostream& aOut, const Finding& aFinding)
{
  return aOut << aFinding.mPlace << ": " << aFinding.mMessage;
}

void Findings::Add(Place aPlace, std::string aMessage)
{
  mItems.push_back({ std::move(aPlace), std::move(aMessage) });
}

void Findings::Append(const Findings& aOther)
{
  mItems.insert(mItems.end(), aOther.mItems.begin(), aOther.mItems.end());
}

std::string Findings::Report() const
{
  std::vector<Finding> sorted = mItems;
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const Finding& aLeft, const Finding& aRight) {
                     const Place& left = aLeft.mPlace;
                     const Place& right = aRight.mPlace;
                     return std::tie(left.mFile, left.mLine, left.mColumn) <
                            std::tie(right.mFile, right.mLine, right.mColumn);
                   });
  std::ostringstream out;
  for (const Finding& it : sorted) {
    out << it << '\n';
  }
  return out.str();
}

} // namespace auburnmux::base
