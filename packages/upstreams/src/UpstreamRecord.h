#pragma once

#include "base/Base.h"

#include <optional>
#include <string>

namespace auburnmux::upstreams {

/** What a source says of one upstream. */
struct UpstreamRecord
{
  base::UpstreamId mId;
  base::ServiceId mService;
  /** IP number. */
  std::string mAddress;
  base::PortNumber mPort;
  base::DataCentreId mDataCentre;
  base::SlotCount mSlots;
  /** Whether it asked for no new requests. */
  bool mIsLeaving = false;
  /** How much longer it is slow after its start, when the source wrote. */
  base::Duration mColdRemaining{};
  /** Start of its process; unset when the source doesn't tell. */
  std::optional<base::Incarnation> mIncarnation;
};

/** \returns whether both describe one process of one upstream. */
inline bool IsSameProcess(const UpstreamRecord& aLeft,
                          const UpstreamRecord& aRight)
{
  return aLeft.mId == aRight.mId && aLeft.mService == aRight.mService &&
         aLeft.mAddress == aRight.mAddress && aLeft.mPort == aRight.mPort &&
         aLeft.mIncarnation == aRight.mIncarnation;
}

} // namespace auburnmux::upstreams
