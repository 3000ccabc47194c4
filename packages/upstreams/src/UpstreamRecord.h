#pragma once

#include "base/Base.h"

#include <optional>
#include <string>

namespace auburnmux::upstreams {

/** Record of one upstream from a source. */
struct UpstreamRecord
{
  base::UpstreamId mId;
  base::ServiceId mService;
  /** IP address. */
  std::string mAddress;
  base::PortNumber mPort;
  base::DataCentreId mDataCentre;
  base::SlotCount mSlots;
  /** Whether it is draining: it asked for no new requests. */
  bool mIsLeaving = false;
  /** Remaining time, as of the writing of the record, in which it is slow after
   * its start. */
  base::Duration mColdRemaining{};
  /** Incarnation of its process; unset if the source doesn't report it. */
  std::optional<base::Incarnation> mIncarnation;
};

/** \returns whether both describe the same process of the same upstream. */
inline bool IsSameProcess(const UpstreamRecord& aLeft,
                          const UpstreamRecord& aRight)
{
  return aLeft.mId == aRight.mId && aLeft.mService == aRight.mService &&
         aLeft.mAddress == aRight.mAddress && aLeft.mPort == aRight.mPort &&
         aLeft.mIncarnation == aRight.mIncarnation;
}

} // namespace auburnmux::upstreams
