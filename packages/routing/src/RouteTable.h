#pragma once

#include "routing/src/Configuration.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace auburnmux::routing {

/**
 * The current configuration, indexed by host name and path prefix. Only newer
 * versions replace it; an older one is ignored, whichever source it comes from.
 */
class RouteTable
{
public:
  /** Makes \a aConfiguration the current one. \returns false, without doing so,
   * if its version isn't newer. */
  bool Update(Configuration aConfiguration);

  /** \returns the current version; 0 before the first configuration. */
  base::ConfigVersion Version() const { return mCurrent->mVersion; }
  bool IsEmpty() const { return Version() == base::ConfigVersion(0); }
  const Configuration& Current() const { return *mCurrent; }

  /**
   * Finds the route with the longest prefix of \a aPath.
   * \param aHost the Host field, with or without a port
   * \returns the route, or null; the pointer stays valid after later updates
   */
  std::shared_ptr<const Route> Find(std::string_view aHost,
                                    std::string_view aPath) const;
  /** \returns the policy of a service; the default if the configuration has
   * none. */
  const ServicePolicy& Policy(const base::ServiceId& aService) const;

private:
  std::shared_ptr<const Configuration> mCurrent =
    std::make_shared<Configuration>();
  /** Routes by host name and path prefix, concatenated. */
  std::unordered_map<std::string, const Route*> mIndex;
};

} // namespace auburnmux::routing
