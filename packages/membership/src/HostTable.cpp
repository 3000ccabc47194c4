#include "membership/src/HostTable.h"

#include <algorithm>

namespace auburnmux::membership {

HostRecord* HostTable::Find(const base::HostId& aId)
{
  const auto it = mRecords.find(aId);
  return it == mRecords.end() ? nullptr : &it->second;
}

const HostRecord* HostTable::Find(const base::HostId& aId) const
{
  const auto it = mRecords.find(aId);
  return it == mRecords.end() ? nullptr : &it->second;
}

bool HostTable::Overrides(const HostUpdate& aNew, const HostUpdate& aOld)
{
  if (aNew.mHost.mIncarnation != aOld.mHost.mIncarnation) {
    return aNew.mHost.mIncarnation > aOld.mHost.mIncarnation;
  }
  if (aNew.mRefutation != aOld.mRefutation) {
    return aNew.mRefutation > aOld.mRefutation;
  }
  return aNew.mState > aOld.mState;
}

bool HostTable::Apply(base::TimePoint aNow, const HostUpdate& aUpdate)
{
  const auto it = mRecords.find(aUpdate.mHost.mId);
  if (it == mRecords.end()) {
    if (mRecords.size() >= kMaxHosts) {
      return false;
    }
    mRecords[aUpdate.mHost.mId] = { aUpdate, false, {}, aNow };
    ++mVersion;
    ++mMembersVersion;
    return true;
  }
  HostRecord& record = it->second;
  const bool isConfirmed =
    record.mIsLocalSuspicion && aUpdate.mState == HostState::Suspect &&
    aUpdate.mRefutation == record.mUpdate.mRefutation &&
    aUpdate.mHost.mIncarnation == record.mUpdate.mHost.mIncarnation;
  if (!isConfirmed && !Overrides(aUpdate, record.mUpdate)) {
    return false;
  }
  const bool wasDead = record.mUpdate.mState == HostState::Dead;
  record.mUpdate = aUpdate;
  record.mIsLocalSuspicion = false;
  record.mChanged = aNow;
  ++mVersion;
  if (wasDead || aUpdate.mState == HostState::Dead) {
    ++mMembersVersion;
  }
  return true;
}

void HostTable::SetLocalSuspicion(base::TimePoint aNow, HostRecord& aRecord,
                                  bool aIsSuspected)
{
  aRecord.mIsLocalSuspicion = aIsSuspected;
  aRecord.mUpdate.mState = aIsSuspected ? HostState::Suspect : HostState::Alive;
  aRecord.mChanged = aNow;
  ++mVersion;
}

void HostTable::RemoveDead(base::TimePoint aNow, base::Duration aAge)
{
  for (auto it = mRecords.begin(); it != mRecords.end();) {
    const bool isOld = it->second.mUpdate.mState == HostState::Dead &&
                       aNow - it->second.mChanged >= aAge;
    if (isOld) {
      it = mRecords.erase(it);
      ++mVersion;
    } else {
      ++it;
    }
  }
}

std::size_t HostTable::MemberCount() const
{
  return static_cast<std::size_t>(
    std::count_if(mRecords.begin(), mRecords.end(), [](const auto& aEntry) {
      return aEntry.second.mUpdate.mState != HostState::Dead;
    }));
}

} // namespace auburnmux::membership
