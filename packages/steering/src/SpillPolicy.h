#pragma once

#include "steering/src/GrantBook.h"

#include <vector>

namespace auburnmux::steering {

/** A live host of another data centre. */
struct SpillTarget
{
  base::HostId mHost;
  base::DataCentreId mDataCentre;
  base::RegionId mRegion;
  base::Duration mOneWayDelay{};
};

/** Work of one service that the local upstreams can't take. */
struct SpillDemand
{
  /** Requests that wait for a slot and would wait too long. */
  base::SlotCount mWaiting;
};

/**
 * Decides which hosts are asked for how many slots and where a waiting
 * request goes: the own region first, then others by their one-way delay.
 */
class SpillPolicy
{
public:
  /** Hosts of one data centre that one sender asks. */
  static constexpr std::size_t kMaxPerCentre = 4;
  /** Interval at which the daemon calls Plan while work waits. */
  static constexpr base::Duration kPlanInterval =
    std::chrono::milliseconds(100);
  /** Grants with less time left are renewed while they are needed. */
  static constexpr base::Duration kRenewBelow = std::chrono::milliseconds(1200);

  SpillPolicy(base::HostId aSelf, base::RegionId aRegion);

  /** Takes the live hosts of other data centres. */
  void SetTargets(std::vector<SpillTarget> aTargets);
  /** \returns the requests to send now; \a aBook records them. */
  std::vector<GrantAsk> Plan(base::TimePoint aNow, const SpillDemand& aDemand,
                             GrantBook& aBook) const;
  /** \returns the use for one waiting request; none without a grant. */
  std::optional<GrantBook::Use> Place(base::TimePoint aNow,
                                      GrantBook& aBook) const;

private:
  using Centre = std::vector<SpillTarget>;

  /** Asks one host. \returns the slots to count on from it. */
  static base::SlotCount PlanHost(base::TimePoint aNow,
                                  const base::HostId& aHost,
                                  base::SlotCount aWanted, GrantBook& aBook,
                                  std::vector<GrantAsk>& aAsks);
  static base::SlotCount PlanCentre(base::TimePoint aNow, const Centre& aCentre,
                                    base::SlotCount aWanted, GrantBook& aBook,
                                    std::vector<GrantAsk>& aAsks);

  base::HostId mSelf;
  base::RegionId mRegion;
  /** Data centres in the order in which they are used. */
  std::vector<Centre> mCentres;
};

} // namespace auburnmux::steering
