#pragma once

#include "base/Base.h"
#include "routing/Routing.h"
#include "upstreams/Upstreams.h"

#include <set>
#include <vector>

namespace auburnmux::entry {

/** Receives the state of the store as it is read. */
class StateSink
{
public:
  virtual ~StateSink() = default;
  virtual void OnConfiguration(routing::Configuration aConfiguration) = 0;
  virtual void OnUpstreamList(
    const std::vector<upstreams::UpstreamRecord>& aRecords,
    upstreams::ListSource aSource) = 0;
  virtual void OnUpstream(const upstreams::UpstreamRecord& aRecord) = 0;
  virtual void OnUpstreamRemoved(const base::UpstreamId& aId) = 0;
  virtual void OnEvacuations(std::set<base::DataCentreId> aCentres) = 0;
  /** The store has stopped answering this host. */
  virtual void OnStoreLost() = 0;
  virtual void OnStoreBack() = 0;
};

} // namespace auburnmux::entry
