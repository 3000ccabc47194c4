#pragma once

#include "base/Base.h"
#include "routing/Routing.h"
#include "upstreams/Upstreams.h"

#include <set>
#include <vector>

namespace auburnmux::entry {

/** Where a copy of the store's state was read. */
enum class StateSource
{
  Store,
  /** The copy of another host, which may be older than the store's state. */
  OtherHost
};

/** Receives the state of the store as it is read. */
class StateSink
{
public:
  virtual ~StateSink() = default;
  virtual void OnConfiguration(routing::Configuration aConfiguration,
                               StateSource aSource) = 0;
  virtual void OnUpstreamList(
    const std::vector<upstreams::UpstreamRecord>& aRecords,
    upstreams::ListSource aSource) = 0;
  virtual void OnUpstream(const upstreams::UpstreamRecord& aRecord) = 0;
  virtual void OnUpstreamRemoved(const base::UpstreamId& aId) = 0;
  virtual void OnEvacuations(std::set<base::DataCentreId> aCentres) = 0;
  /** The store, or a host that follows it, named no newer configuration
   * \a aAge ago. */
  virtual void OnConfigurationConfirmed(base::Duration aAge) = 0;
  /** The store has stopped answering this host. */
  virtual void OnStoreLost() = 0;
  virtual void OnStoreBack() = 0;
  /** The list of upstreams that follows is of an older copy from which the
   * store came back. */
  virtual void OnUpstreamsRolledBack() = 0;
};

} // namespace auburnmux::entry
