#include "carriage/Carriage.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using namespace auburnmux::carriage;
using base::ResponseOwner;

TEST_GROUP(ResponseEvidence){};

// Guards against bytes of a faulty upstream that are taken for the response to
// a request because they are well-formed HTTP (review, case 6).
TEST(ResponseEvidence, ResponseBelongsToTheRequestThatItNames)
{
  for (const bool isFirst : { true, false }) {
    CHECK_TRUE(OwnerOf("own", "own", isFirst) == ResponseOwner::Request);
    const ResponseOwner other =
      isFirst ? ResponseOwner::None : ResponseOwner::EarlierRequest;
    CHECK_TRUE(OwnerOf("own", std::nullopt, isFirst) == other);
    CHECK_TRUE(OwnerOf("own", "", isFirst) == other);
    CHECK_TRUE(OwnerOf("own", "earlier", isFirst) == other);
    CHECK_TRUE(OwnerOf("", "earlier", isFirst) == other);
  }
}

TEST(ResponseEvidence, RequestWithoutAnIdNeedsAConnectionOfItsOwn)
{
  CHECK_TRUE(OwnerOf("", std::nullopt, true) == ResponseOwner::Request);
  CHECK_TRUE(OwnerOf("", std::nullopt, false) == ResponseOwner::EarlierRequest);
}

TEST(ResponseEvidence, SuccessNeedsAReceipt)
{
  for (const int status : { 200, 201, 204, 206, 299 }) {
    CHECK_FALSE(Classify({ status, false, false }).has_value());
    const auto proven = Classify({ status, true, false });
    CHECK_TRUE(proven && !proven->mIsNotRun && !proven->mIsFailure);
  }
}

TEST(ResponseEvidence, NotRunNeedsTheStatementOfTheUpstream)
{
  for (const int status : { 408, 421, 429, 503 }) {
    for (const bool hasReceipt : { true, false }) {
      CHECK_FALSE(Classify({ status, hasReceipt, false }).has_value());
    }
  }
  for (const int status : { 400, 408, 421, 429, 500, 503 }) {
    const auto rejection = Classify({ status, false, true });
    CHECK_TRUE(rejection && rejection->mIsNotRun);
  }
}

// Guards against a second run of a request whose response states both that it
// ran and that it didn't.
TEST(ResponseEvidence, ContradictoryStatementShowsNothing)
{
  CHECK_FALSE(Classify({ 503, true, true }).has_value());
  CHECK_FALSE(Classify({ 200, true, true }).has_value());
  CHECK_FALSE(Classify({ 200, false, true }).has_value());
  CHECK_FALSE(Classify({ 302, false, true }).has_value());
}

TEST(ResponseEvidence, OtherResponsesAreRelayedWithOrWithoutAReceipt)
{
  for (const bool hasReceipt : { true, false }) {
    for (const int status : { 301, 304, 400, 404, 409, 413 }) {
      const auto response = Classify({ status, hasReceipt, false });
      CHECK_TRUE(response && !response->mIsNotRun && !response->mIsFailure);
    }
    for (const int status : { 500, 501, 502, 504, 599 }) {
      const auto response = Classify({ status, hasReceipt, false });
      CHECK_TRUE(response && !response->mIsNotRun && response->mIsFailure);
    }
  }
}
