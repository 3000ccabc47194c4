#pragma once

#include "retries/src/CrashQuarantine.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace auburnmux::retries {

/**
 * Tells crashes of upstreams from responses that were merely lost: a broken
 * connection alone says little, but an upstream that refuses connections right
 * after it broke some has ended.
 */
class CrashWatch
{
public:
  /** A request's connection broke before any response, after it was sent. */
  void OnBroken(base::TimePoint aNow, const base::UpstreamId& aUpstream,
                Fingerprint aFingerprint);
  /**
   * The upstream refused a connection.
   * \returns the requests that it had when it ended, each once
   */
  std::vector<Fingerprint> OnRefusedConnection(
    base::TimePoint aNow, const base::UpstreamId& aUpstream);

  /** Drops what is too old to matter. To be called now and then. */
  void Forget(base::TimePoint aNow);
  std::size_t Size() const { return mBroken.size(); }

private:
  struct Broken
  {
    base::TimePoint mAt;
    Fingerprint mFingerprint;
  };
  using Breaks = std::deque<Broken>;

  static void DropOld(base::TimePoint aNow, Breaks& aBreaks);

  std::unordered_map<base::UpstreamId, Breaks> mBroken;
};

} // namespace auburnmux::retries
