#pragma once

#include "membership/src/HostTable.h"

#include <optional>
#include <set>
#include <vector>

namespace auburnmux::membership {

/**
 * Chooses whom to contact besides the observed hosts: seeds, candidates of
 * the platform's list and dead hosts, so that partitions heal; in turn with
 * live hosts, so that differences between tables disappear.
 */
class Contacts
{
public:
  struct Target
  {
    PeerAddress mPeer;
    /** Empty for seeds and candidates. */
    base::HostId mId;
  };

  Contacts(PeerAddress aSelf, std::vector<PeerAddress> aSeeds);

  /** Replaces the candidates; at most `kMaxHosts` are kept. */
  void SetCandidates(const std::vector<Candidate>& aList);
  std::optional<Target> Next(const HostTable& aTable, const base::HostId& aSelf,
                             base::Random& aRandom);

private:
  std::vector<Target> Lost(const HostTable& aTable) const;
  static std::vector<Target> Live(const HostTable& aTable,
                                  const base::HostId& aSelf);

  PeerAddress mSelf;
  std::vector<PeerAddress> mSeeds;
  std::vector<Candidate> mCandidates;
  bool mIsLiveNext = false;
};

} // namespace auburnmux::membership
