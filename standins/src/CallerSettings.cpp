#include "standins/src/CallerSettings.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace auburnmux::standins {

std::vector<RequestClass> DefaultClasses(const std::string& aService)
{
  const bool isBelhadj = aService == "rota-desk" || aService == "photo-vault";
  const std::string shortService = isBelhadj ? "rota-desk" : "subsidy-core";
  const std::string longService = isBelhadj ? "photo-vault" : "doc-intake";
  RequestClass checks{ "checks", 0, shortService, "GET",
                       isBelhadj ? "/v1/rota" : "/v1/applications" };
  RequestClass once{ "once", 0, shortService, "POST",
                     isBelhadj ? "/v1/trays" : "/v1/vouchers" };
  once.mDeadline = std::chrono::seconds(5);
  once.mBodyBytes = 200;
  once.mIsOnce = true;
  once.mRetriesRefusals = true;
  RequestClass uploads{ "uploads", 0, longService, "PUT",
                        isBelhadj ? "/v1/photos" : "/v1/documents" };
  uploads.mDeadline = std::chrono::seconds(30);
  uploads.mBodyBytes = 200000;
  uploads.mRetriesRefusals = true;
  return { checks, once, uploads };
}

bool ApplyMix(const std::string& aMix, std::vector<RequestClass>& aClasses)
{
  std::istringstream parts(aMix);
  for (std::string part; std::getline(parts, part, ',');) {
    const std::size_t colon = part.find(':');
    const auto it = std::find_if(aClasses.begin(), aClasses.end(),
                                 [&](const RequestClass& aClass) {
                                   return aClass.mName == part.substr(0, colon);
                                 });
    if (colon == std::string::npos || it == aClasses.end()) {
      return false;
    }
    it->mWeight = std::strtod(part.c_str() + colon + 1, nullptr);
  }
  return std::any_of(
    aClasses.begin(), aClasses.end(),
    [](const RequestClass& aClass) { return aClass.mWeight > 0; });
}

} // namespace auburnmux::standins
