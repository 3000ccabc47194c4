#pragma once

#include "base/Base.h"

#include <array>
#include <cstdint>
#include <variant>

namespace auburnmux::limits {

/** The request may start or be queued. */
struct Admitted
{};

/** The request can't finish in time. It is answered with 503 and "not run"
 * before its body is read. */
struct Shed
{
  /** Value of the header `Retry-After`. */
  std::chrono::seconds mRetryAfter;
};

using AdmissionResult = std::variant<Admitted, Shed>;

/** Queue length and slots at the time of a decision. */
struct AdmissionLoad
{
  /** Queued requests of the class. */
  std::uint32_t mWaiting = 0;
  base::SlotCount mFree;
  /** Slots of all usable upstreams that the class may use. */
  base::SlotCount mSlots;
};

/**
 * Decides on arrival whether a request can be served before its deadline, from
 * the expected queueing and service times. Each decision takes constant time
 * and allocates no memory.
 */
class Admission
{
public:
  /** Records how long a finished request occupied its slot. */
  void OnServed(base::WorkClass aClass, base::Duration aService);

  AdmissionResult Decide(base::WorkClass aClass, base::Duration aRemaining,
                         const AdmissionLoad& aLoad) const;

  /** \returns the expected time until a request that arrives now gets a slot.
   */
  base::Duration ExpectedWait(base::WorkClass aClass,
                              const AdmissionLoad& aLoad) const;
  /** \returns a time within which most requests finish; zero without samples.
   */
  base::Duration ServiceTime(base::WorkClass aClass) const;

private:
  struct Service
  {
    double mMean = 0;
    double mDeviation = 0;
  };

  std::array<Service, base::kWorkClassCount> mService;
};

} // namespace auburnmux::limits
