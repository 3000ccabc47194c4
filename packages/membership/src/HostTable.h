#pragma once

#include "membership/src/Settings.h"

#include <map>

namespace auburnmux::membership {

/** What is known about a host. */
struct HostRecord
{
  HostUpdate mUpdate;
  /** Only this host's own timer led to Suspect; no other one agreed. */
  bool mIsLocalSuspicion = false;
  /** Last message from the host itself; the epoch when there was none. */
  base::TimePoint mLastContact;
  base::TimePoint mChanged;
};

/** Known hosts and the rule by which claims about them override others. */
class HostTable
{
public:
  using Records = std::map<base::HostId, HostRecord>;

  const Records& All() const { return mRecords; }
  HostRecord* Find(const base::HostId& aId);
  const HostRecord* Find(const base::HostId& aId) const;

  /**
   * Takes \a aUpdate when it overrides what is known.
   * \returns whether it did.
   */
  bool Apply(base::TimePoint aNow, const HostUpdate& aUpdate);
  /** Changes the state that this host alone derived. */
  void SetLocalSuspicion(base::TimePoint aNow, HostRecord& aRecord, bool);
  void ForgetDead(base::TimePoint aNow, base::Duration aAge);

  /** Changes with every state or identity. */
  std::uint64_t Version() const { return mVersion; }
  /** Changes when a host joins the hosts that aren't dead, or leaves them. */
  std::uint64_t MembersVersion() const { return mMembersVersion; }
  std::size_t MemberCount() const;

  /** \returns whether \a aNew overrides \a aOld. */
  static bool Overrides(const HostUpdate& aNew, const HostUpdate& aOld);

private:
  Records mRecords;
  std::uint64_t mVersion = 1;
  std::uint64_t mMembersVersion = 1;
};

} // namespace auburnmux::membership
