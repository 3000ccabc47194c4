#include "soak/src/Schedule.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace auburnmux::soak {

namespace {

using std::chrono::milliseconds;

/** Length of a span of planned work, and of one of faults. */
constexpr base::Duration kSpan = std::chrono::seconds(8);

/** Time at the end in which nothing happens, so that recovery shows. */
constexpr base::Duration kQuietEnd = std::chrono::seconds(4);

constexpr std::array kPlanned = { FaultKind::StopHost,
                                  FaultKind::PublishVersion,
                                  FaultKind::DrainUpstream,
                                  FaultKind::Evacuate };
constexpr std::array kFaults = {
  FaultKind::KillHost,           FaultKind::PauseHost,
  FaultKind::StoreDown,          FaultKind::StoreDeaf,
  FaultKind::StoreForgets,       FaultKind::CutHostFromStore,
  FaultKind::FreezeUpstreamLink, FaultKind::DelayUpstreamLink,
  FaultKind::OneWayUpstreamLink, FaultKind::CrashUpstream,
  FaultKind::LoseResponses,      FaultKind::ShedRequests,
  FaultKind::StopHost,           FaultKind::PublishVersion,
  FaultKind::DrainUpstream
};

template<typename Kinds>
FaultKind Draw(base::Random& aRandom, const Kinds& aKinds)
{
  return aKinds[aRandom.Below(aKinds.size())];
}

base::Duration DrawTime(base::Random& aRandom, int aLeast, int aMost)
{
  return milliseconds(aLeast + static_cast<int>(aRandom.Below(
                                 static_cast<std::uint64_t>(aMost - aLeast))));
}

} // namespace

const char* KindName(FaultKind aKind)
{
  static constexpr std::array kNames = { "stop_host",
                                         "publish_version",
                                         "drain_upstream",
                                         "evacuate",
                                         "kill_host",
                                         "pause_host",
                                         "store_down",
                                         "store_deaf",
                                         "store_forgets",
                                         "cut_host_store",
                                         "freeze_upstream_link",
                                         "delay_upstream_link",
                                         "one_way_upstream",
                                         "crash_upstream",
                                         "lose_responses",
                                         "shed_requests",
                                         "silence_store" };
  return kNames[static_cast<std::size_t>(aKind)];
}

bool IsPlanned(FaultKind aKind)
{
  return aKind <= FaultKind::Evacuate;
}

namespace {

/** Silences the hosts' connections to the store once in each span of faults.
 * Drawn apart from the other faults, which stay the same for a seed. */
void AddSilences(std::uint64_t aSeed, base::Duration aLength,
                 bool aStartsPlanned, std::vector<Fault>& aSchedule)
{
  base::Random random(base::CombineHash(aSeed, base::Hash64("silence")));
  for (base::Duration span = aStartsPlanned ? kSpan : base::Duration{};
       span < aLength - kQuietEnd; span += 2 * kSpan) {
    Fault fault;
    fault.mKind = FaultKind::SilenceStoreConnections;
    fault.mAt = span + DrawTime(random, 500, 3500);
    fault.mTarget = random.Next();
    if (fault.mAt < aLength - kQuietEnd) {
      aSchedule.push_back(fault);
    }
  }
  std::stable_sort(aSchedule.begin(), aSchedule.end(),
                   [](const Fault& aLeft, const Fault& aRight) {
                     return aLeft.mAt < aRight.mAt;
                   });
}

} // namespace

std::vector<Fault> DrawSchedule(std::uint64_t aSeed, base::Duration aLength)
{
  base::Random random(aSeed);
  const bool startsPlanned = random.Below(2) == 0;
  std::vector<Fault> schedule;
  base::Duration at = DrawTime(random, 200, 1500);
  while (at < aLength - kQuietEnd) {
    const bool isPlannedSpan = (at / kSpan) % 2 == (startsPlanned ? 0 : 1);
    Fault fault;
    fault.mKind =
      isPlannedSpan ? Draw(random, kPlanned) : Draw(random, kFaults);
    fault.mAt = at;
    fault.mFor = DrawTime(random, 300, 3000);
    fault.mTarget = random.Next();
    schedule.push_back(fault);
    at += DrawTime(random, 100, 1200);
  }
  AddSilences(aSeed, aLength, startsPlanned, schedule);
  return schedule;
}

std::string Describe(const std::vector<Fault>& aSchedule)
{
  std::ostringstream out;
  for (const Fault& it : aSchedule) {
    out << "  at_ms="
        << std::chrono::duration_cast<milliseconds>(it.mAt).count()
        << " kind=" << KindName(it.mKind) << " for_ms="
        << std::chrono::duration_cast<milliseconds>(it.mFor).count()
        << " target=" << it.mTarget << '\n';
  }
  return out.str();
}

} // namespace auburnmux::soak
