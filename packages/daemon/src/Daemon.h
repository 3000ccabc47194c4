#pragma once

#include "daemon/src/DaemonContext.h"

#include <memory>

namespace auburnmux::daemon {

/** The process on one entry host. */
class Daemon
{
public:
  Daemon(const config::HostSettings& aSettings, FeatureFlags aFeatures);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /**
   * Serves until a planned stop is complete.
   * \returns 0; 1 when an address can't be bound
   */
  int Run();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace auburnmux::daemon
