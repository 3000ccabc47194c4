#pragma once

#include "daemon/src/ClaimStore.h"

#include "objects/Objects.h"

#include <map>
#include <string>
#include <utility>

namespace auburnmux::daemon {

/** Stores claim segments as objects named `claims/PARTITION/SEGMENT`
 * in the platform's object store. */
class PlatformClaimStore final : public ClaimStore
{
public:
  explicit PlatformClaimStore(objects::PlatformClient& aPlatform);

  void List(idempotency::PartitionNumber aPartition,
            const idempotency::ListSegments& aCall,
            ResultCallback aOnResult) override;
  void Read(idempotency::PartitionNumber aPartition,
            const idempotency::ReadSegment& aCall,
            ResultCallback aOnResult) override;
  void Write(idempotency::PartitionNumber aPartition,
             const idempotency::WriteSegment& aCall,
             ResultCallback aOnResult) override;
  void Delete(idempotency::PartitionNumber aPartition,
              const idempotency::DeleteSegment& aCall,
              ResultCallback aOnResult) override;

private:
  objects::PlatformClient& mPlatform;
};

} // namespace auburnmux::daemon
