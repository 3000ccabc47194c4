#pragma once

#include "membership/src/Settings.h"

#include <map>

namespace auburnmux::membership {

/** Table entry of a host. */
struct HostRecord
{
  HostUpdate mUpdate;
  /** Whether the state is Suspect only because this host hasn't heard it; no
   * other observer has confirmed it. */
  bool mIsLocalSuspicion = false;
  /** Time of the last message from the host itself; the epoch if there was
   * none. */
  base::TimePoint mLastContact;
  /** Time of the last change of `mUpdate`. */
  base::TimePoint mChanged;
};

/** Table of the known hosts, and the rule by which updates override each
 * other. */
class HostTable
{
public:
  using Records = std::map<base::HostId, HostRecord>;

  const Records& All() const { return mRecords; }
  HostRecord* Find(const base::HostId& aId);
  const HostRecord* Find(const base::HostId& aId) const;

  /**
   * Stores \a aUpdate if the host is new, or if it overrides the stored update
   * or confirms a local suspicion. \returns whether it was stored.
   */
  bool Apply(base::TimePoint aNow, const HostUpdate& aUpdate);
  /** Sets the state to Suspect for this host alone, or back to Alive. */
  void SetLocalSuspicion(base::TimePoint aNow, HostRecord& aRecord, bool);
  /** Removes hosts that have been dead for \a aAge. */
  void RemoveDead(base::TimePoint aNow, base::Duration aAge);

  /** \returns a number that increases with every change of the table. */
  std::uint64_t Version() const { return mVersion; }
  /** \returns a number that increases when the set of hosts that aren't dead
   * may have changed. */
  std::uint64_t MembersVersion() const { return mMembersVersion; }
  /** \returns the number of hosts that aren't dead. */
  std::size_t MemberCount() const;

  /** \returns whether \a aNew overrides \a aOld: it has the higher incarnation,
   * then the higher refutation, then the higher state. */
  static bool Overrides(const HostUpdate& aNew, const HostUpdate& aOld);

private:
  Records mRecords;
  std::uint64_t mVersion = 1;
  std::uint64_t mMembersVersion = 1;
};

} // namespace auburnmux::membership
