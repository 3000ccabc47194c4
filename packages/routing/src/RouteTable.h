#pragma once

#include "routing/src/Configuration.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace auburnmux::routing {

/**
 * The configuration in force, indexed by host name and path prefix. Versions
 * only rise: an older one is never taken, whichever source it comes from.
 */
class RouteTable
{
public:
  /** Takes \a aConfiguration. \returns false if its version isn't newer. */
  bool Update(Configuration aConfiguration);

  /** \returns the version in force; 0 before the first configuration. */
  base::ConfigVersion Version() const { return mCurrent->mVersion; }
  bool IsEmpty() const { return Version() == base::ConfigVersion(0); }
  const Configuration& Current() const { return *mCurrent; }

  /**
   * Finds the route with the longest prefix of \a aPath.
   * \param aHost the Host field, with or without a port
   * \returns the route, or null; it outlives later updates while it is held
   */
  std::shared_ptr<const Route> Find(std::string_view aHost,
                                    std::string_view aPath) const;
  /** \returns the policy of a service; the default when it isn't listed. */
  const ServicePolicy& Policy(const base::ServiceId& aService) const;

private:
  std::shared_ptr<const Configuration> mCurrent =
    std::make_shared<Configuration>();
  /** By host name and prefix, joined. */
  std::unordered_map<std::string, const Route*> mIndex;
};

} // namespace auburnmux::routing
