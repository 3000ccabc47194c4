#include "entry/src/RequestForwarder.h"

namespace auburnmux::entry {

namespace {

using carriage::Reason;

/** \returns why a request is refused whose sender isn't known, if it is. */
std::optional<Reason> RefusalOf(const customers::Identification& aResult)
{
  if (std::holds_alternative<customers::UnknownKey>(aResult)) {
    return Reason::UnknownKey;
  }
  if (std::holds_alternative<customers::Unconfirmed>(aResult)) {
    return Reason::UnconfirmedKey;
  }
  return std::nullopt;
}

} // namespace

std::optional<Reason> RequestForwarder::Identify()
{
  const routing::Configuration& configuration = mServices.mRoutes.Current();
  mIdentifiedBy = configuration.mVersion;
  mPlaceRequest.mAllowedRegions = mRoute->mAllowedRegions;
  mSender.reset();
  if (!configuration.mCustomers) {
    return std::nullopt;
  }
  // Also set for a request that is refused, so that no path forwards its key.
  mSender.emplace();
  const customers::Identification result = customers::Identify(
    *configuration.mCustomers, mRoute->mAllowsAnonymous, mFields.mKey,
    mServices.IsConfigurationCurrent(mServices.mLoop.Now()));
  if (const auto refusal = RefusalOf(result)) {
    return refusal;
  }
  if (const auto* identified = std::get_if<customers::Identified>(&result)) {
    mSender->mCustomer = identified->mCustomer;
    auto regions = customers::CommonRegions(
      mRoute->mAllowedRegions, identified->mCustomer->mAllowedRegions);
    if (!regions) {
      return Reason::NoCommonRegion;
    }
    mPlaceRequest.mAllowedRegions = std::move(*regions);
  }
  return std::nullopt;
}

std::optional<Reason> RequestForwarder::IdentifyAgain()
{
  // A refusal stays in force: a straggler isn't replaced after it, and the
  // request may be placed again when the straggler fails.
  if (mIdentifiedBy != mServices.mRoutes.Version()) {
    mIdentityRefusal = Identify();
  }
  return mIdentityRefusal;
}

} // namespace auburnmux::entry
