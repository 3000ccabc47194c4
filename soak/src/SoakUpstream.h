#pragma once

#include "http/Http.h"
#include "soak/src/Ledger.h"
#include "standins/src/Link.h"

#include <memory>
#include <string>

namespace auburnmux::soak {

/** Where an upstream and the link before it are. */
struct UpstreamPlace
{
  std::string mCentre;
  /** Where hosts connect: the link. */
  http::Endpoint mPublic;
  /** Where the link leads. */
  http::Endpoint mOwn;
};

/** An upstream behind a link that can fail. */
class SoakUpstream
{
public:
  SoakUpstream(http::Loop& aLoop, Ledger& aLedger, base::Random aRandom,
               UpstreamPlace aPlace, std::string aId);

  const std::string& Id() const { return mId; }
  const UpstreamPlace& Place() const { return mPlace; }
  bool IsUp() const { return mServer != nullptr; }

  /** Ends at once; what it runs gets no response. */
  void Crash();
  /** Starts anew under another id. */
  void Restart(std::string aId);
  /** Runs requests and breaks their connections until \a aUntil. */
  void LoseResponses(base::TimePoint aUntil) { mLosesUntil = aUntil; }
  /** Rejects nearly half of the requests until \a aUntil. */
  void Shed(base::TimePoint aUntil) { mShedsUntil = aUntil; }
  standins::Link& Link() { return mLink; }

private:
  using Exchange = std::shared_ptr<http::ServerExchange>;

  void OnRequest(const Exchange& aExchange);
  void Run(const Exchange& aExchange, const std::string& aRequest);
  std::string Load() const;

  http::Loop& mLoop;
  Ledger& mLedger;
  base::Random mRandom;
  UpstreamPlace mPlace;
  std::string mId;
  standins::Link mLink;
  std::unique_ptr<http::Server> mServer;
  /** Counts starts, so that work of an earlier one ends with it. */
  int mStart = 0;
  int mRunning = 0;
  base::TimePoint mLosesUntil;
  base::TimePoint mShedsUntil;
};

/** \returns the body of the response to a request, as any upstream writes it.
 */
std::string BodyFor(const std::string& aRequest);

} // namespace auburnmux::soak
