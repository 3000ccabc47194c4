#include "retries/Retries.h"

#include "base/test/support/Property.h"

#include <string>
#include <vector>

using namespace auburnmux;
using namespace auburnmux::retries;
using base::TimePoint;
using base::UpstreamId;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const TimePoint kStart(std::chrono::hours(1));
const Fingerprint kPoison(7);

UpstreamId Name(std::uint64_t aIndex)
{
  return UpstreamId("u" + std::to_string(aIndex));
}

/** An attempt that lasted 10 ms and broke at the given time. */
CrashedAttempt Attempt(std::uint64_t aUpstream, TimePoint aBroken)
{
  return { Name(aUpstream), aBroken - milliseconds(10), aBroken };
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
      const auto record =
        host.OnCrash(now, kPoison, Attempt(random.Below(3), now));
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
  quarantine.OnCrash(kStart, kPoison, Attempt(1, kStart));
  CHECK_FALSE(
    quarantine.OnCrash(kStart, kPoison, Attempt(1, kStart)).has_value());
  // The report of another host arrives later than the attempt lasted.
  const TimePoint later = kStart + milliseconds(300);
  quarantine.Merge(later, { kPoison, { Attempt(1, later) } });
  CHECK_FALSE(quarantine.IsRefused(later, kPoison));
  quarantine.OnCrash(kStart + seconds(30), kPoison,
                     Attempt(1, kStart + seconds(30)));
  CHECK_TRUE(quarantine.IsRefused(kStart + seconds(30), kPoison));
}

// Guards against refusing harmless requests that were in flight at an upstream
// when another request crashed it.
TEST(CrashQuarantine, SuccessClearsASingleCrash)
{
  CrashQuarantine quarantine;
  quarantine.OnCrash(kStart, kPoison, Attempt(1, kStart));
  quarantine.OnSuccess(kStart + seconds(1), kPoison);
  quarantine.OnCrash(kStart + seconds(8), kPoison,
                     Attempt(2, kStart + seconds(8)));
  CHECK_FALSE(quarantine.IsRefused(kStart + seconds(9), kPoison));
  quarantine.OnCrash(kStart + seconds(9), kPoison,
                     Attempt(3, kStart + seconds(9)));
  quarantine.OnSuccess(kStart + seconds(10), kPoison);
  CHECK_TRUE(quarantine.IsRefused(kStart + seconds(10), kPoison));
}

// Guards against refusing a frequent request because several upstreams crashed
// together, for another reason, while each had copies of it in flight.
TEST(CrashQuarantine, AttemptsThatOverlappedCountOnce)
{
  CHECK_PROPERTY("crashes of overlapping attempts", [](std::uint64_t aSeed) {
    base::Random random(aSeed);
    std::vector<CrashQuarantine> hosts(3);
    for (std::uint64_t i = 0; i < 12; ++i) {
      CrashQuarantine& host = hosts[random.Below(hosts.size())];
      const TimePoint broken = kStart + milliseconds(random.Below(100));
      const TimePoint sent = kStart - milliseconds(1 + random.Below(400));
      const auto record =
        host.OnCrash(kStart, kPoison, { Name(i), sent, broken });
      for (CrashQuarantine& it : hosts) {
        if (record) {
          it.Merge(kStart, *record);
        }
        RC_ASSERT(!it.IsRefused(kStart, kPoison));
        RC_ASSERT(it.CrashesLeft(kStart, kPoison) == 1U);
      }
    }
  });
}

// Guards against missing crashes because their reports arrive in another order.
TEST(CrashQuarantine, SequenceIsFoundInAnyOrderOfReports)
{
  CHECK_PROPERTY("order of reports", [](std::uint64_t aSeed) {
    base::Random random(aSeed);
    std::vector<CrashedAttempt> attempts{
      Attempt(1, kStart), Attempt(2, kStart + milliseconds(20)),
      Attempt(3, kStart + milliseconds(40))
    };
    for (std::size_t i = attempts.size(); i > 1; --i) {
      std::swap(attempts[i - 1], attempts[random.Below(i)]);
    }
    CrashQuarantine quarantine(QuarantineSettings{ 3 });
    for (const CrashedAttempt& it : attempts) {
      RC_ASSERT(!quarantine.IsRefused(kStart, kPoison));
      quarantine.Merge(kStart, { kPoison, { it } });
    }
    RC_ASSERT(quarantine.IsRefused(kStart, kPoison));
  });
}

// Guards against a refusal that never ends, and one that ends early.
TEST(CrashQuarantine, RefusalLastsTenMinutes)
{
  CrashQuarantine quarantine;
  quarantine.OnCrash(kStart, kPoison, Attempt(1, kStart - seconds(1)));
  quarantine.OnCrash(kStart, kPoison, Attempt(2, kStart));
  CHECK_TRUE(quarantine.IsRefused(kStart + minutes(10) - seconds(1), kPoison));
  CHECK_FALSE(quarantine.IsRefused(kStart + minutes(10), kPoison));
}

// Guards against a host that has started and lets a request crash upstreams
// that all others refuse.
TEST(CrashQuarantine, JoinedHostRefusesWhatOthersRefuseAndNoLonger)
{
  CrashQuarantine quarantine;
  quarantine.OnCrash(kStart, kPoison, Attempt(1, kStart));
  CHECK_TRUE(quarantine.Refused(kStart).empty());
  const TimePoint crash = kStart + seconds(1);
  quarantine.OnCrash(crash, kPoison, Attempt(2, crash));
  CrashQuarantine joined;
  for (const CrashRecord& it : quarantine.Refused(crash + minutes(5))) {
    joined.Merge(crash + minutes(5), it);
  }
  CHECK_TRUE(joined.IsRefused(crash + minutes(5), kPoison));
  CHECK_FALSE(joined.IsRefused(crash + minutes(10), kPoison));
  CHECK_TRUE(quarantine.Refused(crash + minutes(10)).empty());
}

// Guards against unbounded memory use through callers or peers, and against a
// flood of fingerprints that evicts a refusal.
TEST(CrashQuarantine, MemoryIsBoundedAndRefusalsStayLongest)
{
  QuarantineSettings settings;
  settings.mMaxEntries = 100;
  CrashQuarantine quarantine(settings);
  quarantine.OnCrash(kStart, kPoison, Attempt(1, kStart - seconds(1)));
  quarantine.OnCrash(kStart, kPoison, Attempt(2, kStart));
  const std::vector<CrashedAttempt> many(100000, Attempt(3, kStart));
  for (std::uint64_t i = 100; i < 5000; ++i) {
    quarantine.OnCrash(kStart, Fingerprint(i), Attempt(1, kStart));
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
