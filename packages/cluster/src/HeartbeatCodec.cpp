#include "cluster/src/HeartbeatCodec.h"

namespace auburnmux::cluster {

namespace {

constexpr int kMaxNameBytes = 128;

protocol::HostUpdate::State ToWire(membership::HostState aState)
{
  switch (aState) {
    case membership::HostState::Alive:
      return protocol::HostUpdate::ALIVE;
    case membership::HostState::Suspect:
      return protocol::HostUpdate::SUSPECT;
    case membership::HostState::Leaving:
      return protocol::HostUpdate::LEAVING;
    case membership::HostState::Dead:
      return protocol::HostUpdate::DEAD;
  }
  return protocol::HostUpdate::STATE_UNSPECIFIED;
}

std::optional<membership::HostState> FromWire(
  protocol::HostUpdate::State aState)
{
  switch (aState) {
    case protocol::HostUpdate::ALIVE:
      return membership::HostState::Alive;
    case protocol::HostUpdate::SUSPECT:
      return membership::HostState::Suspect;
    case protocol::HostUpdate::LEAVING:
      return membership::HostState::Leaving;
    case protocol::HostUpdate::DEAD:
      return membership::HostState::Dead;
    default:
      return std::nullopt;
  }
}

void ToWire(const membership::HostUpdate& aUpdate, protocol::HostUpdate& aOut)
{
  const membership::HostIdentity& host = aUpdate.mHost;
  aOut.set_host(host.mId.Text());
  aOut.set_incarnation(host.mIncarnation.Count());
  aOut.set_refutation(aUpdate.mRefutation.Count());
  aOut.set_state(ToWire(aUpdate.mState));
  aOut.set_data_centre(host.mDataCentre.Text());
  aOut.set_region(host.mRegion.Text());
  aOut.set_address(host.mAddress);
  aOut.set_http_port(host.mHttpPort.Count());
  aOut.set_peer_port(host.mPeerPort.Count());
  aOut.set_link_mbps(host.mCapacity.mLink.Count());
  aOut.set_milli_cores(host.mCapacity.mProcessor.Count());
  for (const base::HostId& it : aUpdate.mConfirmedBy) {
    aOut.add_confirmed_by(it.Text());
  }
}

bool IsValidName(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes;
}

bool IsValidPort(std::uint32_t aPort)
{
  return aPort > 0 && aPort <= 65535;
}

std::optional<membership::HostUpdate> FromWire(
  const protocol::HostUpdate& aUpdate)
{
  const auto state = FromWire(aUpdate.state());
  const bool isValid =
    state && IsValidName(aUpdate.host()) &&
    IsValidName(aUpdate.data_centre()) && IsValidName(aUpdate.region()) &&
    IsValidName(aUpdate.address()) && IsValidPort(aUpdate.http_port()) &&
    IsValidPort(aUpdate.peer_port()) &&
    aUpdate.confirmed_by_size() <=
      static_cast<int>(membership::kMaxConfirmations);
  if (!isValid) {
    return std::nullopt;
  }
  membership::HostUpdate update;
  update.mHost = {
    base::HostId(aUpdate.host()),
    base::Incarnation(aUpdate.incarnation()),
    base::DataCentreId(aUpdate.data_centre()),
    base::RegionId(aUpdate.region()),
    aUpdate.address(),
    base::PortNumber(static_cast<std::uint16_t>(aUpdate.http_port())),
    base::PortNumber(static_cast<std::uint16_t>(aUpdate.peer_port())),
    { membership::LinkRate(aUpdate.link_mbps()),
      membership::MilliCores(aUpdate.milli_cores()) }
  };
  update.mRefutation = membership::Refutation(aUpdate.refutation());
  update.mState = *state;
  for (const std::string& it : aUpdate.confirmed_by()) {
    if (!IsValidName(it)) {
      return std::nullopt;
    }
    update.mConfirmedBy.emplace_back(it);
  }
  return update;
}

template<typename Message>
void Encode(const membership::HeartbeatPayload& aPayload, Message& aOut)
{
  aOut.set_number(aPayload.mNumber.Count());
  aOut.set_config_version(aPayload.mConfigVersion.Count());
  ToWire(aPayload.mSender, *aOut.add_updates());
  for (const membership::HostUpdate& it : aPayload.mUpdates) {
    ToWire(it, *aOut.add_updates());
  }
  for (const membership::StateRevision& it : aPayload.mState.mRevisions) {
    aOut.add_state_revisions(it.Count());
  }
  if (aPayload.mState.mEra) {
    aOut.set_state_era(aPayload.mState.mEra->Count());
  }
}

template<typename Message>
std::optional<membership::HeartbeatPayload> Decode(const Message& aMessage)
{
  const auto limit = static_cast<int>(membership::kMaxUpdates) + 1;
  if (aMessage.updates_size() == 0 || aMessage.updates_size() > limit ||
      aMessage.state_revisions_size() >
        static_cast<int>(membership::kMaxStateParts)) {
    return std::nullopt;
  }
  membership::HeartbeatPayload payload;
  payload.mNumber = membership::HeartbeatNumber(aMessage.number());
  payload.mConfigVersion = base::ConfigVersion(aMessage.config_version());
  for (const std::uint64_t it : aMessage.state_revisions()) {
    payload.mState.mRevisions.emplace_back(it);
  }
  if (aMessage.has_state_era()) {
    payload.mState.mEra = membership::StateEra(aMessage.state_era());
  }
  for (const protocol::HostUpdate& it : aMessage.updates()) {
    auto update = FromWire(it);
    if (!update) {
      return std::nullopt;
    }
    if (&it == &aMessage.updates(0)) {
      payload.mSender = std::move(*update);
    } else {
      payload.mUpdates.push_back(std::move(*update));
    }
  }
  return payload;
}

} // namespace

protocol::Envelope ToHeartbeat(const membership::HeartbeatPayload& aPayload)
{
  protocol::Envelope envelope;
  Encode(aPayload, *envelope.mutable_heartbeat());
  return envelope;
}

protocol::Envelope ToHeartbeatAck(const membership::HeartbeatPayload& aPayload)
{
  protocol::Envelope envelope;
  Encode(aPayload, *envelope.mutable_heartbeat_ack());
  return envelope;
}

std::optional<membership::HeartbeatPayload> FromWire(
  const protocol::Heartbeat& aMessage)
{
  return Decode(aMessage);
}

std::optional<membership::HeartbeatPayload> FromWire(
  const protocol::HeartbeatAck& aMessage)
{
  return Decode(aMessage);
}

} // namespace auburnmux::cluster
