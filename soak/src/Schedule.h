#pragma once

#include "base/Base.h"

#include <string>
#include <vector>

namespace auburnmux::soak {

/** What is done to the deployment from outside. */
enum class FaultKind
{
  // Planned work.
  StopHost,
  PublishVersion,
  DrainUpstream,
  Evacuate,
  // Faults.
  KillHost,
  PauseHost,
  StoreDown,
  StoreDeaf,
  StoreForgets,
  CutHostFromStore,
  FreezeUpstreamLink,
  DelayUpstreamLink,
  OneWayUpstreamLink,
  CrashUpstream,
  LoseResponses,
  ShedRequests,
  SilenceStoreConnections
};

/** \returns the kind as it stands in the printed schedule. */
const char* KindName(FaultKind aKind);
/** \returns whether callers are promised not to notice it. */
bool IsPlanned(FaultKind aKind);

/** One thing that happens. */
struct Fault
{
  FaultKind mKind = FaultKind::StopHost;
  /** From the start of the load. */
  base::Duration mAt{};
  /** How long it lasts, where it ends by itself. */
  base::Duration mFor{};
  /** Chooses the host or upstream that it strikes. */
  std::uint64_t mTarget = 0;
};

/**
 * Draws what happens in a run: spans in which only planned work happens, so
 * that its promises can be checked, take turns with spans of faults. The same
 * seed draws the same faults.
 */
std::vector<Fault> DrawSchedule(std::uint64_t aSeed, base::Duration aLength);

/** \returns the schedule as text, one line for each fault. */
std::string Describe(const std::vector<Fault>& aSchedule);

} // namespace auburnmux::soak
