#pragma once

#include "base/Base.h"

#include <array>
#include <cstdint>
#include <variant>

namespace auburnmux::limits {

/** The request may start or wait. */
struct Admitted
{};

/** The request can't finish in time: 503, "not run", before it is read. */
struct Shed
{
  /** For the header `Retry-After`. */
  std::chrono::seconds mRetryAfter;
};

using AdmissionResult = std::variant<Admitted, Shed>;

/** The queue and the slots at the time of a decision. */
struct AdmissionLoad
{
  /** Requests of the class that wait already. */
  std::uint32_t mWaiting = 0;
  base::SlotCount mFree;
  /** Slots of all usable upstreams that the class may use. */
  base::SlotCount mSlots;
};

/**
 * Compares the expected wait with the deadline when a request arrives. Each
 * decision takes constant time and allocates nothing.
 */
class Admission
{
public:
  /** Takes the time that a finished request held its slot. */
  void OnServed(base::WorkClass aClass, base::Duration aService);

  AdmissionResult Decide(base::WorkClass aClass, base::Duration aRemaining,
                         const AdmissionLoad& aLoad) const;

  /** \returns the time until a slot is free for a request that arrives now. */
  base::Duration ExpectedWait(base::WorkClass aClass,
                              const AdmissionLoad& aLoad) const;
  /** \returns a time within which most work finishes; zero when unknown. */
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
