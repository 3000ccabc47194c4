#pragma once

#include "steering/src/Grant.h"
#include "steering/src/GrantAccount.h"
#include "steering/src/RampWindow.h"

#include <map>

namespace auburnmux::steering {

/** Limits of one host for one service. */
struct IssuerSettings
{
  /** This host's portion of the data centre's cap. \sa PortionOfCap */
  base::SlotCount mPortion;
  /** Growth of the granted slots in any second. */
  base::SlotCount mRampPerSecond;
  LinkBudget mLink;
};

/** Slots of this host's share and those that local work occupies. */
struct SlotUse
{
  base::SlotCount mShare;
  base::SlotCount mLocal;
};

/**
 * Receiving side of the steering between data centres: grants concurrent
 * requests of one service to hosts of other data centres. What is granted or
 * still running never exceeds the host's portion of the cap.
 */
class GrantIssuer
{
public:
  /** A measurement older than this grants nothing. */
  static constexpr base::Duration kMeasurementAge = std::chrono::seconds(1);

  /** Issues nothing until `kGrantLifetime` after \a aStart. */
  GrantIssuer(const IssuerSettings& aSettings, base::TimePoint aStart);

  /**
   * Takes new limits. A larger portion counts only after \a aNow plus
   * `kGrantLifetime` plus the time within which all hosts of the data centre
   * have the new configuration, because another host may still use the old one.
   */
  void Configure(base::TimePoint aNow, const IssuerSettings& aSettings);
  void OnMeasured(base::TimePoint aNow, const SlotUse& aUse);
  /** \returns the answer; the same one for a duplicate of the last request. */
  GrantOffer OnRequest(base::TimePoint aNow, const base::HostId& aSender,
                       Correlation aCorrelation, base::SlotCount aWanted,
                       base::Random& aRandom);
  /**
   * \returns whether the forwarded request may run; otherwise it is refused
   * as not run. Each admitted request is reported to OnFinished once.
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
  base::SlotCount Spare() const;
  base::SlotCount Total() const;
  base::SlotCount Grantable(base::TimePoint aNow,
                            const GrantAccount& aAccount) const;

  IssuerSettings mSettings;
  base::SlotCount mOldPortion;
  base::TimePoint mNewPortionFrom;
  base::TimePoint mIssueFrom;
  RampWindow mRamp;
  SlotUse mUse;
  base::TimePoint mMeasured;
  bool mHasMeasured = false;
  std::map<base::HostId, GrantAccount> mAccounts;
};

} // namespace auburnmux::steering
