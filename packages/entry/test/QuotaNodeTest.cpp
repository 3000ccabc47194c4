#include "entry/src/QuotaNode.h"

#include "base/test/support/Property.h"

#include <memory>

using namespace auburnmux;
using namespace auburnmux::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::DataCentreId kCentre("dc1");

/** An entry host without its HTTP side. */
struct QuotaHost
{
  QuotaHost(http::Loop& aLoop, std::uint16_t aPort, std::uint16_t aSeed)
    : mTransport(aLoop,
                 { base::HostId("h" + std::to_string(aPort)),
                   base::Incarnation(1),
                   { "127.0.0.1", base::PortNumber(aPort) },
                   std::nullopt },
                 [this](const protocol::Envelope& aIt) {
                   if (!mQuotas.OnMessage(aIt)) {
                     mCluster.OnMessage(aIt);
                   }
                 })
    , mCluster(
        aLoop, mMetrics, base::Random(aPort), Settings(aPort, aSeed),
        mTransport, [this, &aLoop] { OnView(aLoop); },
        [](const http::Endpoint&, base::ConfigVersion) {})
    , mQuotas({ aLoop, mMetrics, mTransport, mCluster, mActive }, { kCentre },
              {}, aPort)
  {
    mCluster.Start();
  }

  static membership::MembershipSettings Settings(std::uint16_t aPort,
                                                 std::uint16_t aSeed)
  {
    membership::MembershipSettings settings;
    settings.mSelf.mId = base::HostId("h" + std::to_string(aPort));
    settings.mSelf.mIncarnation = base::Incarnation(1);
    settings.mSelf.mDataCentre = kCentre;
    settings.mSelf.mRegion = base::RegionId("r1");
    settings.mSelf.mAddress = "127.0.0.1";
    settings.mSelf.mHttpPort = base::PortNumber(1);
    settings.mSelf.mPeerPort = base::PortNumber(aPort);
    settings.mSeeds = { { "127.0.0.1", base::PortNumber(aSeed) } };
    return settings;
  }
  void OnView(http::Loop& aLoop)
  {
    mActive.OnView(aLoop.Now(), mCluster.View());
    mQuotas.OnViewChanged();
  }

  telemetry::Metrics mMetrics;
  membership::ActiveHostCounter mActive;
  peer::Transport mTransport;
  cluster::ClusterNode mCluster;
  QuotaNode mQuotas;
};

void RunFor(http::Loop& aLoop, base::Duration aTime)
{
  aLoop.After(aTime, [&aLoop] { aLoop.Stop(); });
  aLoop.Run();
}

} // namespace

TEST_GROUP(QuotaNode){};

// Guards against hosts that don't exchange tokens over the network: one of two
// hosts receives all requests and has to get the other's share as well, but no
// more than the quota.
TEST(QuotaNode, HostWithAllRequestsGetsTheWholeQuota)
{
  http::Loop loop;
  QuotaHost first(loop, 7961, 7962);
  QuotaHost second(loop, 7962, 7961);
  const quotas::CustomerHash customer = HashCustomer("yefi830");
  first.mQuotas.SetQuotas({ { customer, { 50, 10 } } });
  second.mQuotas.SetQuotas({ { customer, { 50, 10 } } });
  RunFor(loop, seconds(4));
  int admitted = 0;
  int refused = 0;
  const auto count = [&](const quotas::Decision& aDecision) {
    admitted += std::holds_alternative<quotas::Taken>(aDecision) ? 1 : 0;
    refused += std::holds_alternative<quotas::Refused>(aDecision) ? 1 : 0;
  };
  const auto arrivals = loop.Every(
    milliseconds(10), [&] { count(first.mQuotas.Take(customer, count)); });
  RunFor(loop, seconds(2));
  loop.Cancel(arrivals);
  RunFor(loop, milliseconds(200));
  CHECK_TRUE_TEXT(admitted >= 80, std::to_string(admitted).c_str());
  CHECK_TRUE_TEXT(admitted <= 130, std::to_string(admitted).c_str());
  CHECK_TRUE(refused > 0);
}

// Guards against a cost or a refusal where there are no quotas.
TEST(QuotaNode, NothingHappensWithoutQuotas)
{
  http::Loop loop;
  QuotaHost host(loop, 7961, 7961);
  host.mQuotas.SetQuotas({});
  const quotas::Decision decision = host.mQuotas.Take(
    HashCustomer("yefi830"), [](const quotas::Decision&) { FAIL("waited"); });
  CHECK_TRUE(std::holds_alternative<quotas::Taken>(decision));
  CHECK_TRUE(QuotaNode::IsValid(std::get<quotas::Taken>(decision).mToken));
  RunFor(loop, milliseconds(500));
  CHECK_EQUAL(0, host.mTransport.Counts().mSent);
}
