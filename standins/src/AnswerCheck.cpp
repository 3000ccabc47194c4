#include "standins/src/AnswerCheck.h"

#include <nlohmann/json.hpp>

namespace auburnmux::standins {

namespace {

bool IsOwn(const ExpectedAnswer& aExpected, const std::string& aBody)
{
  const auto json = nlohmann::json::parse(aBody, nullptr, false);
  const auto has = [&](const char* aName, const std::string& aValue) {
    const auto it = json.find(aName);
    return it != json.end() && it->is_string() && *it == aValue;
  };
  return json.is_object() && has("nonce", aExpected.mNonce) &&
         has("key", aExpected.mKey) && has("digest", aExpected.mDigest);
}

} // namespace

Verdict CheckAnswer(const ExpectedAnswer& aExpected,
                    const http::FetchResult& aResult)
{
  if (aResult.mFailure) {
    return aResult.mFailure->mMayHaveReached ? Verdict::Broken
                                             : Verdict::NotReached;
  }
  const auto outcome = aResult.mHead.mHeaders.Find("work-outcome");
  if (aResult.IsOk()) {
    return IsOwn(aExpected, aResult.mBody) ? Verdict::Own : Verdict::Wrong;
  }
  if (outcome == "not-run") {
    return Verdict::NotRun;
  }
  return outcome == "not-known" ? Verdict::NotKnown : Verdict::Broken;
}

} // namespace auburnmux::standins
