#pragma once

#include "daemon/src/ClaimStore.h"

#include "platform/Platform.h"

#include <map>
#include <string>
#include <utility>

namespace auburnmux::daemon {

/** Keeps claims as objects `claims/PARTITION/SEGMENT` in the platform. */
class PlatformClaimStore final : public ClaimStore
{
public:
  explicit PlatformClaimStore(platform::PlatformClient& aPlatform);

  void List(idempotency::PartitionNumber aPartition,
            const idempotency::ListSegments& aCall, Done aDone) override;
  void Read(idempotency::PartitionNumber aPartition,
            const idempotency::ReadSegment& aCall, Done aDone) override;
  void Write(idempotency::PartitionNumber aPartition,
             const idempotency::WriteSegment& aCall, Done aDone) override;
  void Delete(idempotency::PartitionNumber aPartition,
              const idempotency::DeleteSegment& aCall, Done aDone) override;

private:
  platform::PlatformClient& mPlatform;
};

} // namespace auburnmux::daemon
