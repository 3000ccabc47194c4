// Prints the cost and the detection time of membership at several fleet sizes,
// in virtual time. Usage: measure_membership [HOSTS CENTRES]...

#include "membership/test/support/Fleet.h"
#include "protocol/Protocol.h"

#include <chrono>
#include <cstdlib>
#include <iostream>

using namespace auburnmux::membership;
using namespace std::chrono_literals;
using auburnmux::membership::test::Fleet;

namespace {

constexpr std::uint64_t kSeed = 20261204;

/** Bytes of the envelope (40), of the ZeroMQ frame and CURVE box (34), and of
 * TCP and IP (52). */
constexpr std::size_t kMessageOverhead = 126;

std::size_t WireSize(const HeartbeatPayload& aPayload)
{
  auburnmux::protocol::Heartbeat out;
  out.set_number(aPayload.mNumber.Count());
  out.set_config_version(aPayload.mConfigVersion.Count());
  std::size_t regions = 0;
  const auto add = [&](const HostUpdate& aUpdate) {
    auburnmux::protocol::HostUpdate* it = out.add_updates();
    it->set_host(aUpdate.mHost.mId.Text());
    it->set_incarnation(aUpdate.mHost.mIncarnation.Count());
    it->set_refutation(aUpdate.mRefutation.Count());
    it->set_state(auburnmux::protocol::HostUpdate::ALIVE);
    it->set_data_centre(aUpdate.mHost.mDataCentre.Text());
    it->set_address(aUpdate.mHost.mAddress);
    it->set_http_port(aUpdate.mHost.mHttpPort.Count());
    it->set_peer_port(aUpdate.mHost.mPeerPort.Count());
    for (const auburnmux::base::HostId& id : aUpdate.mConfirmedBy) {
      it->add_confirmed_by(id.Text());
    }
    regions += aUpdate.mHost.mRegion.Text().size() + 2;
  };
  add(aPayload.mSender);
  std::for_each(aPayload.mUpdates.begin(), aPayload.mUpdates.end(), add);
  return out.ByteSizeLong() + regions + kMessageOverhead;
}

double Seconds(auburnmux::base::Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/** Runs until \a aIsDone, for at most 120 s. \returns the virtual time it took,
 * in seconds. */
template<typename Condition>
double SecondsUntil(Fleet& aFleet, const Condition& aIsDone)
{
  const auto start = aFleet.mNow;
  while (!aIsDone() && aFleet.mNow - start < 120s) {
    aFleet.Run(aFleet.mNodes.size() > 200 ? 50ms : 10ms);
  }
  return Seconds(aFleet.mNow - start);
}

bool IsCentreSeenDead(const Fleet& aFleet, std::size_t aCentres,
                      std::size_t aLost)
{
  for (std::size_t it = 0; it < aFleet.mNodes.size(); ++it) {
    if (it % aCentres == aLost && !aFleet.AllSee(it, HostState::Dead)) {
      return false;
    }
  }
  return true;
}

void Measure(std::size_t aHosts, std::size_t aCentres)
{
  Fleet fleet(aHosts, aCentres, kSeed);
  fleet.mMessageSize = WireSize;
  const double join = SecondsUntil(fleet, [&] { return fleet.IsComplete(); });
  fleet.Run(20s);
  for (Fleet::Node& node : fleet.mNodes) {
    node.mSent = 0;
    node.mBytes = 0;
  }
  const auto started = std::chrono::steady_clock::now();
  fleet.Run(20s);
  const auto cpu = std::chrono::steady_clock::now() - started;
  double sent = 0;
  double bytes = 0;
  double most = 0;
  for (const Fleet::Node& node : fleet.mNodes) {
    sent += static_cast<double>(node.mSent);
    bytes += static_cast<double>(node.mBytes);
    most = std::max(most, static_cast<double>(node.mBytes));
  }
  const auto hosts = static_cast<double>(aHosts);
  const std::size_t victim = aHosts - 1;
  fleet.Kill(victim);
  const double detect =
    SecondsUntil(fleet, [&] { return fleet.AllSee(victim, HostState::Dead); });
  for (std::size_t it = 1; it < aHosts; it += aCentres) {
    fleet.Kill(it);
  }
  const double centre =
    SecondsUntil(fleet, [&] { return IsCentreSeenDead(fleet, aCentres, 1); });
  std::cout << "measure=membership hosts=" << aHosts << " centres=" << aCentres
            << " join_s=" << join << " sent_per_host_s=" << sent / hosts / 20
            << " bytes_per_host_s=" << bytes / hosts / 20
            << " most_bytes_s=" << most / 20
            << " cpu_percent_per_host=" << Seconds(cpu) / 20 / hosts * 100
            << " detect_s=" << detect << " centre_detect_s=" << centre
            << " seed=" << kSeed << '\n'
            << std::flush;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  for (int it = 1; it + 1 < aArgc; it += 2) {
    Measure(std::strtoul(aArgv[it], nullptr, 10),
            std::strtoul(aArgv[it + 1], nullptr, 10));
  }
  return 0;
}
