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
 * Chooses upstreams of one service in one data centre for one host by power
 * of two choices on latency and requests in flight.
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
   * Replaces the set of upstreams. Those that stay keep their signals and
   * requests in flight; those added after the first call start cold.
   */
  void Configure(base::TimePoint aNow, const std::vector<UpstreamSpec>& aSpecs);

  /** Sets the adaptive limit, at most the share. \sa limits::ConcurrencyLimit
   */
  void SetLimit(const base::UpstreamId& aUpstream, base::SlotCount aLimit);

  /** \returns where to send an attempt that starts now. */
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
  /** The attempt was abandoned, such as the loser of a hedge. */
  void OnCancel(base::TimePoint aNow, base::Random& aRandom,
                base::AttemptId aAttempt);

  /** Takes the load in [0, 1] that the upstream had \a aAge ago. It changes
   * the cost by a quarter at most and never ejects: reports mislead. */
  void OnLoadReport(base::TimePoint aNow, const base::UpstreamId& aUpstream,
                    base::Duration aAge, double aLoad);
  /** The upstream gets nothing new from here on. */
  void OnLeavingSign(base::TimePoint aNow, const base::UpstreamId& aUpstream);
  /** The upstream's health endpoint says that it takes work. */
  void OnReadySign(base::TimePoint aNow, const base::UpstreamId& aUpstream);
  /** Tells how many requests wait in this host's queue for the service. */
  void OnWaiting(base::TimePoint aNow, std::uint32_t aCount);

  /** \returns signals for status output and tests. */
  std::vector<UpstreamStatus> Status(base::TimePoint aNow) const;
  /** \returns the summed limits of usable upstreams minus those in use. */
  base::SlotCount FreeSlots(base::TimePoint aNow) const;

private:
  struct Attempt
  {
    base::UpstreamId mUpstream;
    bool mProbe = false;
  };

  /** An attempt that ended at an upstream that is still configured. */
  struct Finished
  {
    UpstreamState* mState = nullptr;
    base::WorkClass mClass = base::WorkClass::Short;
    bool mProbe = false;
  };

  UpstreamState* Find(const base::UpstreamId& aUpstream);
  std::optional<Finished> Finish(base::AttemptId aAttempt);
  UpstreamState* DueProbe(base::TimePoint aNow, const PickRequest& aRequest);
  bool IsSlow(const UpstreamState& aState, base::WorkClass aClass,
              base::Duration aLatency) const;
  void FinishProbe(base::TimePoint aNow, base::Random& aRandom,
                   const Finished& aProbe, base::Duration aLatency);
  /** Ejects \a aState when its signals ask for it and the bounds allow it. */
  void Review(base::TimePoint aNow, base::Random& aRandom,
              UpstreamState& aState);
  void ReadmitForLoad(base::TimePoint aNow);

  PoolSettings mSettings;
  std::vector<UpstreamState> mUpstreams;
  std::unordered_map<base::AttemptId, Attempt> mAttempts;
  std::uint32_t mWaiting = 0;
  base::TimePoint mWaitingSince{};
  bool mConfigured = false;
  std::array<base::Duration, base::kWorkClassCount> mTypical{};
};

} // namespace auburnmux::balancing
