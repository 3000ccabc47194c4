#pragma once

#include "membership/Membership.h"

#include <optional>

namespace auburnmux::cluster {

/** \returns the position of a configuration version. Versions only increase,
 * so that they have no era. */
inline membership::StatePosition VersionPosition(base::ConfigVersion aVersion)
{
  return { {}, membership::StateRevision(aVersion.Count()) };
}

/**
 * Tells from the announcements of other hosts whether this host's copy of a
 * part of the platform's state has missed a change.
 *
 * It answers the load of watches that become silent one by one: their
 * connections stay open, other calls succeed, and nothing is reported. Hosts
 * learn of a change within tenths of a second of each other, so a copy that
 * stays behind an announced change for longer has missed it.
 */
class StateLag
{
public:
  /** \param aMaxLag time within which a change that another host has reaches
   * this one, if nothing is lost */
  explicit StateLag(base::Duration aMaxLag)
    : mMaxLag(aMaxLag)
  {
  }

  /** Another host has the change \a aAnnounced; this one has all changes up to
   * \a aOwn. */
  void OnAnnounced(base::TimePoint aNow,
                   const membership::StatePosition& aAnnounced,
                   const membership::StatePosition& aOwn);
  /** \returns whether the copy, with all changes up to \a aOwn, has missed an
   * announced change. */
  bool IsBehind(base::TimePoint aNow,
                const membership::StatePosition& aOwn) const;
  /** The copy is being read anew. */
  void Reset() { mAwaited.reset(); }

private:
  /** The first announced change that the copy didn't have. Later ones don't
   * replace it, so that a series of changes can't hide that it is missing. */
  std::optional<membership::StatePosition> mAwaited;
  base::TimePoint mAwaitedSince;
  base::Duration mMaxLag;
};

} // namespace auburnmux::cluster
