#pragma once

#include "steering/src/Grant.h"
#include "steering/src/GrantAccount.h"
#include "steering/src/RampLimiter.h"

#include <map>

namespace auburnmux::steering {

/** Limits on the grants of one host for one service. */
struct IssuerSettings
{
  /** This host's portion of the cap of its data centre. \sa PortionOfCap */
  base::SlotCount mPortion;
  /** Limit on the growth of the granted slots in any second. */
  base::SlotCount mRampPerSecond;
  LinkBudget mLink;
};

/** The slots of this host's share and those occupied by local requests. */
struct SlotUse
{
  base::SlotCount mShare;
  base::SlotCount mLocal;
};

/**
 * Receiving side of the steering between data centres: grants slots, that is
 * concurrent requests of one service, to hosts of other data centres. The slots
 * granted or in use never exceed the host's portion of the cap.
 */
class GrantIssuer
{
public:
  /** No slots are granted if the last measurement is older than this. */
  static constexpr base::Duration kMaxMeasurementAge = std::chrono::seconds(1);

  /** Issues no grants until `kGrantLifetime` after \a aStart, because grants
   * from before a restart may still be valid. */
  GrantIssuer(const IssuerSettings& aSettings, base::TimePoint aStart);

  /**
   * Applies new limits. A larger portion takes effect only after \a aNow plus
   * `kGrantLifetime` plus the time within which all hosts of the data centre
   * have the new configuration, because another host may still use the old one.
   */
  void Configure(base::TimePoint aNow, const IssuerSettings& aSettings);
  void OnMeasured(base::TimePoint aNow, const SlotUse& aUse);
  /** \returns the offer; for a duplicate of an answered request the same offer,
   * or no slots if it expired. */
  GrantOffer OnRequest(base::TimePoint aNow, const base::HostId& aSender,
                       Correlation aCorrelation, base::SlotCount aWanted,
                       base::Random& aRandom);
  /**
   * \returns whether the forwarded request may run; otherwise it is rejected
   * without being run. OnFinished() must be called once for each admitted
   * request.
   */
  bool Admit(base::TimePoint aNow, const base::HostId& aSender,
             GrantToken aToken);
  void OnFinished(const base::HostId& aSender);

  /** \returns the slots granted or in use. */
  base::SlotCount Committed(base::TimePoint aNow) const;
  base::SlotCount InUse() const;

private:
  void Expire(base::TimePoint aNow);
  bool IsMeasured(base::TimePoint aNow) const;
  base::SlotCount Portion(base::TimePoint aNow) const;
  base::SlotCount FreeSlots() const;
  base::SlotCount TotalCommitted() const;
  base::SlotCount GrantableSlots(base::TimePoint aNow,
                                 const GrantAccount& aAccount) const;

  IssuerSettings mSettings;
  base::SlotCount mOldPortion;
  base::TimePoint mNewPortionFrom;
  base::TimePoint mFirstIssueTime;
  RampLimiter mRamp;
  SlotUse mUse;
  base::TimePoint mMeasuredAt;
  bool mHasMeasured = false;
  std::map<base::HostId, GrantAccount> mAccounts;
};

} // namespace auburnmux::steering
