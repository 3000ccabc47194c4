#include "soak/src/SoakUpstream.h"

#include <utility>

namespace auburnmux::soak {

namespace {

using std::chrono::milliseconds;

constexpr int kSlots = 6;

/** Work of most requests, and the multiple that a few percent take. */
constexpr int kLeastWorkMs = 15;
constexpr int kWorkSpreadMs = 30;
constexpr int kStragglerMultiple = 7;
/** Multiple that one percent take: longer than work may go on without its
 * caller. */
constexpr int kLongMultiple = 40;

} // namespace

std::string BodyFor(const std::string& aRequest)
{
  std::string body = "response to " + aRequest + ' ';
  const std::size_t length = 20 + base::Hash64(aRequest) % 2000;
  while (body.size() < length) {
    body += static_cast<char>('a' + body.size() % 26);
  }
  return body + " end";
}

SoakUpstream::SoakUpstream(http::Loop& aLoop, Ledger& aLedger,
                           base::Random aRandom, UpstreamPlace aPlace,
                           std::string aId)
  : mLoop(aLoop)
  , mLedger(aLedger)
  , mRandom(aRandom)
  , mPlace(std::move(aPlace))
  , mLink(aLoop, mPlace.mPublic, mPlace.mOwn)
{
  Restart(std::move(aId));
}

void SoakUpstream::Crash()
{
  ++mStart;
  mRunning = 0;
  mServer.reset();
}

void SoakUpstream::Restart(std::string aId)
{
  Crash();
  mId = std::move(aId);
  mServer = std::make_unique<http::Server>(
    mLoop, mPlace.mOwn, [this](const Exchange& aIt) { OnRequest(aIt); });
}

std::string SoakUpstream::Load() const
{
  return std::to_string(mRunning) + ",0," + std::to_string(kSlots) + ",100";
}

void SoakUpstream::OnRequest(const Exchange& aExchange)
{
  const http::RequestHead& head = aExchange->Head();
  if (head.mPath == "/healthz") {
    aExchange->Respond(200, { { "instance-id", mId } }, "");
    return;
  }
  const std::string request(
    head.mHeaders.Find("request-id").value_or(std::string_view()));
  const bool isOther =
    head.mHeaders.Find("expect-instance").value_or(mId) != mId;
  const bool sheds =
    mLoop.Now() < mShedsUntil && mRandom.Below(100) < 45; // percent
  if (isOther) {
    aExchange->Respond(421, { { "request-id", request } }, "");
  } else if (sheds || mRunning >= kSlots) {
    aExchange->Respond(503,
                       { { "request-id", request },
                         { "not-executed", "1" },
                         { "backend-load", Load() } },
                       "");
  } else {
    Run(aExchange, request);
  }
}

void SoakUpstream::Run(const Exchange& aExchange, const std::string& aRequest)
{
  const bool mayRepeat = aExchange->Head().mMethod == "GET";
  mLedger.OnRun(mLoop.Now(), aRequest, mayRepeat, mId, mPlace.mCentre);
  ++mRunning;
  const auto percent = mRandom.Below(100);
  const int multiple = percent < 1   ? kLongMultiple
                       : percent < 4 ? kStragglerMultiple
                                     : 1;
  const milliseconds work(
    (kLeastWorkMs + static_cast<int>(mRandom.Below(kWorkSpreadMs))) * multiple);
  const bool isLost = mLoop.Now() < mLosesUntil && mRandom.Below(2) == 0;
  mLoop.After(work, [this, aExchange, aRequest, isLost, start = mStart] {
    if (start != mStart) {
      return;
    }
    --mRunning;
    if (!aExchange->IsClosed()) {
      mLedger.OnWorkDone(mLoop.Now(), aRequest);
    }
    if (isLost) {
      aExchange->Abort();
      return;
    }
    aExchange->Respond(200,
                       { { "request-id", aRequest },
                         { "response-signature", "sig-" + aRequest },
                         { "backend-load", Load() } },
                       BodyFor(aRequest));
  });
}

} // namespace auburnmux::soak
