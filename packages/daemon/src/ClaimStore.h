#pragma once

#include "idempotency/Idempotency.h"

#include <functional>

namespace auburnmux::daemon {

/** Stores the segments of the claim logs. */
class ClaimStore
{
public:
  /** Is called exactly once for each call, never before the call returns. */
  using ResultCallback =
    std::function<void(const idempotency::PlatformResult&)>;

  virtual ~ClaimStore() = default;
  virtual void List(idempotency::PartitionNumber aPartition,
                    const idempotency::ListSegments& aCall,
                    ResultCallback aOnResult) = 0;
  virtual void Read(idempotency::PartitionNumber aPartition,
                    const idempotency::ReadSegment& aCall,
                    ResultCallback aOnResult) = 0;
  virtual void Write(idempotency::PartitionNumber aPartition,
                     const idempotency::WriteSegment& aCall,
                     ResultCallback aOnResult) = 0;
  virtual void Delete(idempotency::PartitionNumber aPartition,
                      const idempotency::DeleteSegment& aCall,
                      ResultCallback aOnResult) = 0;
};

} // namespace auburnmux::daemon
