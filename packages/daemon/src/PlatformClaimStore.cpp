#include "daemon/src/PlatformClaimStore.h"

#include <charconv>

namespace auburnmux::daemon {

namespace {

using idempotency::CallStatus;

// Claims time out after about a second, so a later result would be useless.
constexpr objects::CallOptions kOptions{ objects::CallPurpose::Claims,
                                         std::chrono::milliseconds(800) };

std::string Prefix(idempotency::PartitionNumber aPartition)
{
  return "claims/" + std::to_string(aPartition.Count()) + '/';
}

std::string Name(idempotency::PartitionNumber aPartition,
                 idempotency::SegmentNumber aSegment)
{
  return Prefix(aPartition) + std::to_string(aSegment.Count());
}

std::optional<idempotency::SegmentNumber> ParseSegment(
  const std::string& aName, const std::string& aPrefix)
{
  std::uint32_t number = 0;
  if (aName.compare(0, aPrefix.size(), aPrefix) != 0) {
    return std::nullopt;
  }
  const char* end = aName.data() + aName.size();
  const auto result =
    std::from_chars(aName.data() + aPrefix.size(), end, number);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return idempotency::SegmentNumber(number);
}

/** Converts the result of a platform read. */
struct ReadMapper
{
  idempotency::CallNumber mCall;

  idempotency::ReadResult operator()(const objects::ObjectFound& aIt) const
  {
    return { mCall, CallStatus::Done, aIt.mVersion, aIt.mBytes };
  }
  idempotency::ReadResult operator()(const objects::ObjectNotFound&) const
  {
    return { mCall, CallStatus::NotFound, {}, {} };
  }
  template<typename Other>
  idempotency::ReadResult operator()(const Other&) const
  {
    return { mCall, CallStatus::Unknown, {}, {} };
  }
};

/** Converts the result of a platform write. */
struct WriteMapper
{
  idempotency::CallNumber mCall;

  idempotency::WriteResult operator()(const objects::ObjectStored& aIt) const
  {
    return { mCall, CallStatus::Done, aIt.mVersion };
  }
  idempotency::WriteResult operator()(const objects::ConditionFailed&) const
  {
    return { mCall, CallStatus::Conflict, {} };
  }
  template<typename Other>
  idempotency::WriteResult operator()(const Other&) const
  {
    return { mCall, CallStatus::Unknown, {} };
  }
};

/** Converts the result of a platform deletion. */
struct DeleteMapper
{
  idempotency::CallNumber mCall;

  idempotency::DeleteResult operator()(const objects::ObjectDeleted&) const
  {
    return { mCall, CallStatus::Done };
  }
  idempotency::DeleteResult operator()(const objects::ObjectNotFound&) const
  {
    return { mCall, CallStatus::NotFound };
  }
  template<typename Other>
  idempotency::DeleteResult operator()(const Other&) const
  {
    return { mCall, CallStatus::Unknown };
  }
};

} // namespace

PlatformClaimStore::PlatformClaimStore(objects::PlatformClient& aPlatform)
  : mPlatform(aPlatform)
{
}

void PlatformClaimStore::List(idempotency::PartitionNumber aPartition,
                              const idempotency::ListSegments& aCall,
                              ResultCallback aOnResult)
{
  const std::string prefix = Prefix(aPartition);
  mPlatform.List(
    prefix, kOptions,
    [prefix, call = aCall.mCall,
     aOnResult](const objects::ListResult& aResult) {
      idempotency::ListResult result{ call, CallStatus::Unknown, {} };
      const auto* objects =
        std::get_if<std::vector<objects::ListedObject>>(&aResult);
      if (objects != nullptr) {
        result.mStatus = CallStatus::Done;
        for (const objects::ListedObject& it : *objects) {
          if (const auto n = ParseSegment(it.mName, prefix)) {
            result.mSegments.push_back(*n);
          }
        }
      }
      aOnResult(result);
    });
}

void PlatformClaimStore::Read(idempotency::PartitionNumber aPartition,
                              const idempotency::ReadSegment& aCall,
                              ResultCallback aOnResult)
{
  mPlatform.Get(
    Name(aPartition, aCall.mSegment), kOptions,
    [call = aCall.mCall, aOnResult](const objects::GetResult& aResult) {
      aOnResult(std::visit(ReadMapper{ call }, aResult));
    });
}

void PlatformClaimStore::Write(idempotency::PartitionNumber aPartition,
                               const idempotency::WriteSegment& aCall,
                               ResultCallback aOnResult)
{
  const bool mustBeAbsent = aCall.mExpected == idempotency::kAbsent;
  const objects::WriteCondition condition =
    mustBeAbsent
      ? objects::WriteCondition(objects::IfAbsent{})
      : objects::WriteCondition(objects::IfVersion{ aCall.mExpected });
  mPlatform.Put(
    Name(aPartition, aCall.mSegment), aCall.mBytes, condition, kOptions,
    [call = aCall.mCall, aOnResult](const objects::PutResult& aResult) {
      aOnResult(std::visit(WriteMapper{ call }, aResult));
    });
}

void PlatformClaimStore::Delete(idempotency::PartitionNumber aPartition,
                                const idempotency::DeleteSegment& aCall,
                                ResultCallback aOnResult)
{
  // Deletion is conditional on the version, so it is read first. The version of
  // a sealed segment never changes.
  const std::string name = Name(aPartition, aCall.mSegment);
  mPlatform.Get(
    name, kOptions,
    [this, name, call = aCall.mCall,
     aOnResult](const objects::GetResult& aResult) {
      const auto* found = std::get_if<objects::ObjectFound>(&aResult);
      if (found == nullptr) {
        const bool isGone =
          std::holds_alternative<objects::ObjectNotFound>(aResult);
        aOnResult(idempotency::DeleteResult{
          call, isGone ? CallStatus::NotFound : CallStatus::Unknown });
        return;
      }
      mPlatform.Delete(
        name, found->mVersion, kOptions,
        [call, aOnResult](const objects::DeleteResult& aDeleted) {
          aOnResult(std::visit(DeleteMapper{ call }, aDeleted));
        });
    });
}

} // namespace auburnmux::daemon
