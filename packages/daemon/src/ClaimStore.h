#pragma once

#include "idempotency/Idempotency.h"

#include <functional>

namespace auburnmux::daemon {

/** Where the segments of claims are kept. */
class ClaimStore
{
public:
  /** Receives exactly one result for each call, never before its return. */
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
