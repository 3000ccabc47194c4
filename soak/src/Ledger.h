#pragma once

#include "base/Base.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnmux::soak {

/** What a caller got for one request. */
struct Answer
{
  std::string mId;
  bool mMayRepeat = false;
  /** 0 when the connection ended without a whole response. */
  int mStatus = 0;
  /** Whether the body and the signature are those of this request. */
  bool mIsOwn = true;
  /** Whether the host was in a planned stop while it had the request. */
  bool mWasHostStopping = false;
};

/**
 * Compares what callers and upstreams saw with what is promised. Promises that
 * hold only without faults are checked while none is near.
 */
class Ledger
{
public:
  /** \param aChecksTime whether the bounds in time are checked */
  explicit Ledger(bool aChecksTime);

  void OnRun(base::TimePoint aNow, const std::string& aId, bool aMayRepeat,
             const std::string& aUpstream, const std::string& aCentre);
  void OnAnswer(base::TimePoint aNow, const Answer& aAnswer);
  /** The caller closed its connection before it had an answer. */
  void OnCallerLeft(base::TimePoint aNow, const std::string& aId);
  /** An upstream has done the work of a request that nobody cancelled. */
  void OnWorkDone(base::TimePoint aNow, const std::string& aId);
  /** The upstream announced its leaving. */
  void OnLeaving(base::TimePoint aNow, const std::string& aUpstream);
  void OnEvacuation(base::TimePoint aNow, const std::string& aCentre,
                    bool aIsOn);
  /** A version with a route of its own was published. */
  void OnVersion(base::TimePoint aNow, int aVersion);
  /** A request on the route of \a aVersion was answered.
   * \param aProcess names one start of one host */
  void OnVersionProbe(base::TimePoint aSent, const std::string& aProcess,
                      int aVersion, bool aIsKnown);
  /** A fault is going on until \a aUntil. */
  void OnDisturbance(base::TimePoint aUntil);
  /** A fault of a link to an upstream is going on until \a aUntil. */
  void OnLinkFault(base::TimePoint aUntil);
  /** A process ended that was not told to. */
  void OnUnexpectedEnd(const std::string& aProcess, int aCode);

  /** \returns the breaches, one line each. */
  const std::vector<std::string>& Breaches() const { return mBreaches; }
  std::size_t Answers() const { return mAnswers; }
  std::size_t Successes() const { return mSuccesses; }

private:
  struct Request
  {
    int mRuns = 0;
    bool mIsRefused = false;
    std::optional<base::TimePoint> mLeft;
  };

  /** \returns whether nothing but planned work happened since \a aSince. */
  bool IsCalmSince(base::TimePoint aSince) const;
  void Report(const std::string& aPromise, const std::string& aWhat);

  bool mChecksTime;
  std::map<std::string, Request> mRequests;
  std::map<std::string, base::TimePoint> mLeaving;
  std::map<std::string, base::TimePoint> mEvacuated;
  std::map<int, base::TimePoint> mVersions;
  std::map<std::string, int> mKnownVersion;
  std::optional<base::TimePoint> mDisturbedUntil;
  std::optional<base::TimePoint> mLinkFaultUntil;
  std::vector<std::string> mBreaches;
  std::size_t mAnswers = 0;
  std::size_t mSuccesses = 0;
};

} // namespace auburnmux::soak
