#pragma once

#include "steering/src/GrantHolder.h"

#include <vector>

namespace auburnmux::steering {

/** A live host of another data centre to which requests may be forwarded. */
struct SpillTarget
{
  base::HostId mHost;
  base::DataCentreId mDataCentre;
  base::RegionId mRegion;
  base::Duration mOneWayDelay{};
};

/** Requests of one service that the local upstreams can't take. */
struct SpillDemand
{
  /** Requests that are queued for a slot and would wait too long. */
  base::SlotCount mWaiting;
};

/**
 * Decides how many slots to request from which hosts and to which host a
 * waiting request is forwarded: first hosts in this host's region, then others
 * by their one-way delay.
 */
class SpillPolicy
{
public:
  /** Limit on the hosts of one data centre from which a sender requests slots.
   */
  static constexpr std::size_t kMaxHostsPerCentre = 4;
  /** Interval at which the daemon calls Plan while work waits. */
  static constexpr base::Duration kPlanInterval =
    std::chrono::milliseconds(100);
  /** A grant that is still needed is renewed when less time than this remains.
   */
  static constexpr base::Duration kRenewalThreshold =
    std::chrono::milliseconds(1200);

  SpillPolicy(base::HostId aSelf, base::RegionId aRegion);

  /** Replaces the live hosts of other data centres. */
  void SetTargets(std::vector<SpillTarget> aTargets);
  /** \returns the requests for slots to send now; \a aHolder records them. */
  std::vector<SlotRequest> Plan(base::TimePoint aNow,
                                const SpillDemand& aDemand,
                                GrantHolder& aHolder) const;
  /** Occupies a granted slot for one waiting request.
   * \returns its use; none without a free granted slot */
  std::optional<GrantHolder::Use> Place(base::TimePoint aNow,
                                        GrantHolder& aHolder) const;

private:
  using Centre = std::vector<SpillTarget>;

  /** Requests slots from one host if it grants too few or its grant expires
   * soon. \returns the slots to expect from it */
  static base::SlotCount PlanHost(base::TimePoint aNow,
                                  const base::HostId& aHost,
                                  base::SlotCount aWanted, GrantHolder& aHolder,
                                  std::vector<SlotRequest>& aRequests);
  static base::SlotCount PlanCentre(base::TimePoint aNow, const Centre& aCentre,
                                    base::SlotCount aWanted,
                                    GrantHolder& aHolder,
                                    std::vector<SlotRequest>& aRequests);

  base::HostId mSelf;
  base::RegionId mRegion;
  /** Hosts by data centre, in the order of preference. */
  std::vector<Centre> mCentres;
};

} // namespace auburnmux::steering
