#pragma once

#include "cluster/Cluster.h"
#include "daemon/src/DaemonContext.h"

#include "config/Config.h"
#include "objects/Objects.h"

#include <functional>
#include <string>
#include <vector>

namespace auburnmux::daemon {

/** Fetches configuration snapshots from the platform and from peers and keeps
 * the newest accepted one. */
class ConfigService
{
public:
  using ChangeCallback = std::function<void(const config::Snapshot&)>;

  ConfigService(const DaemonContext& aContext, peer::Transport& aTransport,
                cluster::ClusterNode& aCluster,
                objects::PlatformClient& aPlatform, ChangeCallback aOnChange);

  void Start();
  /** Handles a snapshot request or reply of a peer. */
  void OnMessage(const protocol::Envelope& aEnvelope);
  /** Requests the snapshot from a peer that announced a newer version. */
  void OnVersionAnnounced(const http::Endpoint& aPeer,
                          base::ConfigVersion aVersion);

  const config::ConfigState& State() const { return mState; }

private:
  /** A snapshot whose parts are being downloaded from the platform. */
  struct Download
  {
    config::CurrentPointer mPointer;
    std::vector<std::string> mNames;
    std::string mBytes;
  };

  void OnTick();
  bool IsWatcher() const;
  void Watch();
  void Read();
  void OnPointerBytes(base::ObjectVersion aVersion, const std::string& aBytes);
  void OnCallAnswered();
  void OnCallFailed();
  void FetchNextPart();
  void OnSnapshotRequest(const base::HostId& aFrom,
                         const protocol::SnapshotRequest& aMessage);
  void OnSnapshotReply(const base::HostId& aFrom,
                       const protocol::SnapshotReply& aMessage);
  void ApplyOffer(const config::SnapshotOffer& aOffer);

  const DaemonContext& mContext;
  peer::Transport& mTransport;
  cluster::ClusterNode& mCluster;
  objects::PlatformClient& mPlatform;
  ChangeCallback mOnChange;
  config::ConfigState mState;
  base::ObjectVersion mPointerVersion;
  std::optional<Download> mDownload;
  objects::Backoff mBackoff;
  bool mIsCallPending = false;
  bool mWasUnreachable = false;
  base::TimePoint mNextCall;
  base::TimePoint mNextPeerRequest;
  base::ConfigVersion mRequested;
};

} // namespace auburnmux::daemon
