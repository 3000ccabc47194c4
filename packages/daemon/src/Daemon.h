#pragma once

#include "daemon/src/DaemonContext.h"

#include <memory>

namespace auburnmux::daemon {

/** The daemon process of one entry host. */
class Daemon
{
public:
  Daemon(const config::HostSettings& aSettings, FeatureFlags aFeatures);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /**
   * Serves requests until a graceful stop is complete.
   * \returns 0, or 1 when a listen address can't be bound
   */
  int Run();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace auburnmux::daemon
