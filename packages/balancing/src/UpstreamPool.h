#pragma once

#include "balancing/src/PickRequest.h"
#include "balancing/src/PoolSettings.h"
#include "balancing/src/UpstreamSpec.h"
#include "balancing/src/UpstreamState.h"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace auburnmux::balancing {

/**
 * Load balancer of one host over the upstreams of one service in one data
 * centre. Picks by power of two choices on latency and requests in flight, and
 * ejects outliers.
 *
 * Every attempt goes through OnStart and then exactly one of OnSuccess,
 * OnFailure and OnCancel. Events of unknown attempts and upstreams are
 * ignored, because a configuration update may have removed them.
 */
class UpstreamPool
{
public:
  explicit UpstreamPool(PoolSettings aSettings = {});

  /**
   * Replaces the set of upstreams. Known upstreams keep their statistics and
   * requests in flight; upstreams added after the first call go through slow
   * start.
   */
  void Configure(base::TimePoint aNow, const std::vector<UpstreamSpec>& aSpecs);

  /** Sets the adaptive concurrency limit. The host's share of slots stays the
   * upper bound. \sa limits::ConcurrencyLimit */
  void SetLimit(const base::UpstreamId& aUpstream, base::SlotCount aLimit);

  /** \returns the upstream for an attempt that starts now, or why there is
   * none. */
  PickResult Pick(base::TimePoint aNow, base::Random& aRandom,
                  const PickRequest& aRequest);

  /** Counts an attempt as in flight. \pre \a aAttempt is new. */
  void OnStart(base::TimePoint aNow, base::AttemptId aAttempt,
               const base::UpstreamId& aUpstream, base::WorkClass aClass);
  void OnFirstByte(base::TimePoint aNow, base::AttemptId aAttempt);
  void OnSuccess(base::TimePoint aNow, base::Random& aRandom,
                 base::AttemptId aAttempt, base::Duration aLatency);
  void OnFailure(base::TimePoint aNow, base::Random& aRandom,
                 base::AttemptId aAttempt, base::FailureKind aKind);
  /** Ends an attempt that was cancelled, for instance the slower one of a
   * hedged request. */
  void OnCancel(base::TimePoint aNow, base::Random& aRandom,
                base::AttemptId aAttempt);

  /** Records a load in [0, 1] that the upstream reported for \a aAge ago. As
   * reports may be wrong, they raise the cost by a quarter at most and never
   * eject an upstream. */
  void OnLoadReport(base::TimePoint aNow, const base::UpstreamId& aUpstream,
                    base::Duration aAge, double aLoad);
  /** Marks the upstream as leaving: it gets no new attempts. */
  void OnLeavingSignal(base::TimePoint aNow, const base::UpstreamId& aUpstream);
  /** Records that the upstream's health endpoint reported it ready. Ends a
   * leaving state that the upstream announced, once it has lasted
   * PoolSettings::mMinLeavingTime. */
  void OnReadySignal(base::TimePoint aNow, const base::UpstreamId& aUpstream);
  /** Records the number of requests in this host's queue for the service. */
  void OnQueueLength(base::TimePoint aNow, std::uint32_t aCount);

  /** \returns the state of each upstream, for status output and tests. */
  std::vector<UpstreamStatus> Status(base::TimePoint aNow) const;
  /** \returns the number of free slots over all upstreams that aren't leaving
   * or ejected. */
  base::SlotCount FreeSlots(base::TimePoint aNow) const;

private:
  struct Attempt
  {
    base::UpstreamId mUpstream;
    bool mProbe = false;
  };

  /** A finished attempt whose upstream is still configured. */
  struct Finished
  {
    UpstreamState* mState = nullptr;
    base::WorkClass mClass = base::WorkClass::Short;
    bool mProbe = false;
  };

  UpstreamState* Find(const base::UpstreamId& aUpstream);
  std::optional<Finished> Finish(base::AttemptId aAttempt);
  UpstreamState* FindProbeTarget(base::TimePoint aNow,
                                 const PickRequest& aRequest);
  /** \returns whether \a aLatency is too far above the typical latency of the
   * other upstreams. */
  bool IsSlow(const UpstreamState& aState, base::WorkClass aClass,
              base::Duration aLatency) const;
  void FinishProbe(base::TimePoint aNow, base::Random& aRandom,
                   const Finished& aProbe, base::Duration aLatency);
  /** Ejects \a aState if it is slow or failing and EjectionPolicy allows it. */
  void EjectIfUnhealthy(base::TimePoint aNow, base::Random& aRandom,
                        UpstreamState& aState);
  void ReadmitForBacklog(base::TimePoint aNow);

  PoolSettings mSettings;
  std::vector<UpstreamState> mUpstreams;
  std::unordered_map<base::AttemptId, Attempt> mAttempts;
  std::uint32_t mQueueLength = 0;
  base::TimePoint mQueuedSince{};
  bool mConfigured = false;
  std::array<base::Duration, base::kWorkClassCount> mTypicalLatency{};
};

} // namespace auburnmux::balancing
