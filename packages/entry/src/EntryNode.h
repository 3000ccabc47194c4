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
 * An entry host: receives the requests of clients and forwards them to
 * upstreams. Its configuration and its upstreams come from a store.
 */
class EntryNode final : public StateSink
{
public:
  /** \param aTranslator must outlive the node */
  EntryNode(http::Loop& aLoop, EntrySettings aSettings,
            const Translator& aTranslator);
  ~EntryNode() override;
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  /** \returns whether the host accepts requests of clients. */
  bool IsReady() const;
  /** \returns the hosts that a client in \a aCentre should use. */
  std::vector<http::Endpoint> Lookup(const base::DataCentreId& aCentre,
                                     const base::RegionId& aRegion) const;
  /** \returns the live hosts, this one included. */
  std::vector<membership::HostView> LiveHosts() const;
  /** \returns this host's state, the configuration that it follows, and the
   * hosts that it knows, as JSON for `auburnmux status`. */
  std::string StatusText() const;
  /** \returns the metrics as text. */
  std::string MetricsText();

  /**
   * Shuts down gracefully: asks clients to use other hosts and completes the
   * requests in flight. Calls \a aDone once all have completed, or at the end
   * of the grace period.
   */
  void Stop(std::function<void()> aDone);
  /** Announces to other hosts which changes of the platform's state this host
   * has. */
  void AnnounceState(membership::StateSummary aState);
  /** Calls \a aObserver when another host announces changes that this host
   * hasn't announced. */
  void ObserveAnnouncedState(
    std::function<void(const membership::StateSummary&)> aObserver);
  /** Applies those changed settings that may change at run time. */
  void Reload(const EntrySettings& aSettings);

  void OnConfiguration(routing::Configuration aConfiguration,
                       StateSource aSource) override;
  void OnUpstreamList(const std::vector<upstreams::UpstreamRecord>& aRecords,
                      upstreams::ListSource aSource) override;
  void OnUpstream(const upstreams::UpstreamRecord& aRecord) override;
  void OnUpstreamRemoved(const base::UpstreamId& aId) override;
  void OnEvacuations(std::set<base::DataCentreId> aCentres) override;
  void OnConfigurationConfirmed(base::Duration aAge) override;
  void OnStoreLost() override;
  void OnStoreBack() override;
  void OnUpstreamsRolledBack() override;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace auburnmux::entry
