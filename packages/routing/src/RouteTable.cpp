#include "routing/src/RouteTable.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace auburnmux::routing {

namespace {

/** \returns the host name in lower case, without the port. */
std::string NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(
    host.begin(), host.end(), host.begin(),
    [](unsigned char aChar) { return static_cast<char>(std::tolower(aChar)); });
  return host;
}

} // namespace

bool RouteTable::Update(Configuration aConfiguration)
{
  if (aConfiguration.mVersion <= Version()) {
    return false;
  }
  mCurrent = std::make_shared<const Configuration>(std::move(aConfiguration));
  mIndex.clear();
  for (const Route& it : mCurrent->mRoutes) {
    mIndex[NormalizeHost(it.mHost) + it.mPathPrefix] = &it;
  }
  return true;
}

std::shared_ptr<const Route> RouteTable::Find(std::string_view aHost,
                                              std::string_view aPath) const
{
  std::string key = NormalizeHost(aHost);
  const std::size_t hostLength = key.size();
  key += aPath;
  for (std::size_t n = key.rfind('/');
       n != std::string::npos && n >= hostLength; n = key.rfind('/', n - 1)) {
    key.resize(n + 1);
    const auto it = mIndex.find(key);
    if (it != mIndex.end()) {
      return { mCurrent, it->second };
    }
    if (n == 0) {
      break;
    }
  }
  return nullptr;
}

const ServicePolicy& RouteTable::Policy(const base::ServiceId& aService) const
{
  static const ServicePolicy sDefault;
  const auto it = mCurrent->mServices.find(aService);
  return it == mCurrent->mServices.end() ? sDefault : it->second;
}

} // namespace auburnmux::routing
