#pragma once

#include "membership/src/HostTable.h"

#include <optional>
#include <set>
#include <vector>

namespace auburnmux::membership {

/**
 * Selects random hosts to contact besides the observed ones. It alternates
 * between unreached hosts (seeds, candidates from the platform's list and dead
 * hosts), so that partitions heal, and live hosts, so that the tables of all
 * hosts converge.
 */
class ContactSelector
{
public:
  struct Target
  {
    PeerAddress mPeer;
    /** Empty for seeds and candidates. */
    base::HostId mId;
  };

  ContactSelector(PeerAddress aSelf, std::vector<PeerAddress> aSeeds);

  /** Replaces the candidates by the first `kMaxHosts` of \a aList. */
  void SetCandidates(const std::vector<Candidate>& aList);
  /** \returns the next host to contact, or nothing if there is none. */
  std::optional<Target> Next(const HostTable& aTable, const base::HostId& aSelf,
                             base::Random& aRandom);

private:
  /** \returns the dead hosts, and the seeds and candidates not in the table. */
  std::vector<Target> DeadOrUnknownTargets(const HostTable& aTable) const;
  static std::vector<Target> LiveTargets(const HostTable& aTable,
                                         const base::HostId& aSelf);

  PeerAddress mSelf;
  std::vector<PeerAddress> mSeeds;
  std::vector<Candidate> mCandidates;
  bool mIsLiveNext = false;
};

} // namespace auburnmux::membership
