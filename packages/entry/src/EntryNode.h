#pragma once

#include "entry/src/EntrySettings.h"
#include "entry/src/StateSink.h"
#include "entry/src/Translator.h"
#include "http/Http.h"
#include "membership/Membership.h"
#include "telemetry/Telemetry.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburnmux::entry {

/**
 * An entry host whose configuration and upstreams come from a store: takes the
 * requests of clients and carries them to upstreams.
 */
class EntryNode final : public StateSink
{
public:
  /** \param aTranslator outlives the node */
  EntryNode(http::Loop& aLoop, EntrySettings aSettings,
            const Translator& aTranslator);
  ~EntryNode() override;
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  /** \returns whether the host takes requests of clients. */
  bool IsReady() const;
  /** \returns the hosts that a client of the data centre is to use. */
  std::vector<http::Endpoint> Lookup(const base::DataCentreId& aCentre,
                                     const base::RegionId& aRegion) const;
  /** \returns the live hosts, this one included. */
  std::vector<membership::HostView> LiveHosts() const;
  /** \returns the metrics as text. */
  std::string MetricsText();

  /**
   * Stops in order: requests in flight end, clients are asked to move on.
   * Calls \a aDone when nothing is left, or the time is up.
   */
  void Stop(std::function<void()> aDone);
  /** Takes changed settings that may change in a running process. */
  void Reload(const EntrySettings& aSettings);

  void OnConfiguration(routing::Configuration aConfiguration) override;
  void OnUpstreamList(const std::vector<upstreams::UpstreamRecord>& aRecords,
                      upstreams::ListSource aSource) override;
  void OnUpstream(const upstreams::UpstreamRecord& aRecord) override;
  void OnUpstreamRemoved(const base::UpstreamId& aId) override;
  void OnEvacuations(std::set<base::DataCentreId> aCentres) override;
  void OnStoreLost() override;
  void OnStoreBack() override;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace auburnmux::entry
