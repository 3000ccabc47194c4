#include "retries/Retries.h"

#include "base/test/support/Property.h"

#include <string>
#include <vector>

using namespace auburnmux;
using namespace auburnmux::retries;
using base::TimePoint;
using base::UpstreamId;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const TimePoint kStart(std::chrono::hours(1));
const Fingerprint kPoison(7);

UpstreamId Name(std::uint64_t aIndex)
{
  return UpstreamId("u" + std::to_string(aIndex));
}

} // namespace

TEST_GROUP(CrashQuarantine){};

// Guards against one request, retried by its caller through several hosts, that
// crashes one upstream after another.
TEST(CrashQuarantine, StopsAfterTwoUpstreamsAcrossAllHosts)
{
  CHECK_PROPERTY("two crashes in the system", [](std::uint64_t aSeed) {
    base::Random random(aSeed);
    std::vector<CrashQuarantine> hosts(5);
    int crashes = 0;
    for (std::uint64_t i = 0; i < 50; ++i) {
      const TimePoint now = kStart + seconds(3 * i);
      CrashQuarantine& host = hosts[random.Below(hosts.size())];
      if (host.IsRefused(now, kPoison)) {
        continue;
      }
      ++crashes;
      const auto record = host.OnCrash(now, kPoison, Name(random.Below(3)));
      RC_ASSERT(record.has_value());
      for (CrashQuarantine& it : hosts) {
        it.Merge(now, *record);
        it.Merge(now, *record);
      }
    }
    RC_ASSERT(crashes == 2);
  });
}

// Guards against refusing a request because several of its attempts, or several
// hosts, reported the same crash.
TEST(CrashQuarantine, OneCrashSeenTwiceCountsOnce)
{
  CrashQuarantine quarantine;
  quarantine.OnCrash(kStart, kPoison, Name(1));
  CHECK_FALSE(quarantine.OnCrash(kStart, kPoison, Name(1)).has_value());
  quarantine.Merge(kStart, { kPoison, { Name(1) } });
  CHECK_FALSE(quarantine.IsRefused(kStart, kPoison));
  quarantine.OnCrash(kStart + seconds(30), kPoison, Name(1));
  CHECK_TRUE(quarantine.IsRefused(kStart + seconds(30), kPoison));
}

// Guards against refusing harmless requests that were in flight at an upstream
// when another request crashed it.
TEST(CrashQuarantine, SuccessClearsASingleCrash)
{
  CrashQuarantine quarantine;
  quarantine.OnCrash(kStart, kPoison, Name(1));
  quarantine.OnSuccess(kStart + seconds(1), kPoison);
  quarantine.OnCrash(kStart + seconds(9), kPoison, Name(2));
  CHECK_FALSE(quarantine.IsRefused(kStart + seconds(9), kPoison));
  quarantine.OnCrash(kStart + seconds(9), kPoison, Name(3));
  quarantine.OnSuccess(kStart + seconds(10), kPoison);
  CHECK_TRUE(quarantine.IsRefused(kStart + seconds(10), kPoison));
}

// Guards against a refusal that never ends, and one that ends early.
TEST(CrashQuarantine, RefusalLastsTenMinutes)
{
  CrashQuarantine quarantine;
  quarantine.OnCrash(kStart, kPoison, Name(1));
  quarantine.OnCrash(kStart, kPoison, Name(2));
  CHECK_TRUE(quarantine.IsRefused(kStart + minutes(10) - seconds(1), kPoison));
  CHECK_FALSE(quarantine.IsRefused(kStart + minutes(10), kPoison));
}

// Guards against unbounded memory use through callers or peers, and against a
// flood of fingerprints that evicts a refusal.
TEST(CrashQuarantine, MemoryIsBoundedAndRefusalsStayLongest)
{
  QuarantineSettings settings;
  settings.mMaxEntries = 100;
  CrashQuarantine quarantine(settings);
  quarantine.OnCrash(kStart, kPoison, Name(1));
  quarantine.OnCrash(kStart, kPoison, Name(2));
  const std::vector<UpstreamId> many(100000, Name(3));
  for (std::uint64_t i = 100; i < 5000; ++i) {
    quarantine.OnCrash(kStart, Fingerprint(i), Name(1));
    CHECK_TRUE(quarantine.Size() <= 100);
  }
  quarantine.Merge(kStart, { Fingerprint(5000), many });
  CHECK_TRUE(quarantine.Size() <= 100);
  CHECK_TRUE(quarantine.IsRefused(kStart, kPoison));
}

// Guards against different requests that share a fingerprint.
TEST(CrashQuarantine, FingerprintCoversEachPart)
{
  const base::ServiceId service("core");
  const Fingerprint base = MakeFingerprint(service, "GET", "/a", "k");
  CHECK_TRUE(base == MakeFingerprint(service, "GET", "/a", "k"));
  CHECK_TRUE(base != MakeFingerprint(base::ServiceId("x"), "GET", "/a", "k"));
  CHECK_TRUE(base != MakeFingerprint(service, "PUT", "/a", "k"));
  CHECK_TRUE(base != MakeFingerprint(service, "GET/", "a", "k"));
  CHECK_TRUE(base != MakeFingerprint(service, "GET", "/a", "l"));
}
