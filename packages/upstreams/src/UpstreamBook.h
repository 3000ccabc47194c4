#pragma once

#include "upstreams/src/UpstreamEvent.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace auburnmux::upstreams {

/** Whether entries missing from a list were removed or may only have lapsed. */
enum class ListSource
{
  /** The source may have been unavailable, so that entries may have lapsed
   * without being removed. */
  Unsettled,
  /** The list comes from a host that reads the source without interruption:
   * entries missing from it were removed. */
  SettledElsewhere
};

/** Times of an UpstreamBook. */
struct BookSettings
{
  /**
   * Time after the source became available again in which upstreams whose
   * entries disappeared around its outage are still used. Upstreams announce
   * themselves again within 2 s.
   */
  base::Duration mLapseGrace = std::chrono::milliseconds(2000);
  /** Time for which a removed process is remembered, so that its entry doesn't
   * bring it back after it announced its shutdown. */
  base::Duration mRemovedRetention = std::chrono::minutes(5);
};

/**
 * The known upstreams, from the lists and changes of one source. Handles
 * processes that replace one another under an id or an address, and keeps
 * entries for a grace period that lapsed only because the source was
 * unavailable.
 */
class UpstreamBook
{
public:
  explicit UpstreamBook(const BookSettings& aSettings = {});

  /** Applies the whole list of the source. */
  UpstreamEvents OnList(base::TimePoint aNow,
                        const std::vector<UpstreamRecord>& aRecords,
                        ListSource aSource = ListSource::Unsettled);
  UpstreamEvents OnRecord(base::TimePoint aNow, const UpstreamRecord& aRecord);
  /** The source no longer lists the upstream, or its entry is unreadable. */
  UpstreamEvents OnRemoved(base::TimePoint aNow, const base::UpstreamId& aId);
  /**
   * The upstream itself announced its shutdown, in a response to a request that
   * was sent at \a aSentAt. Ignored if its process was replaced since then.
   */
  UpstreamEvents OnLeavingAnnounced(base::TimePoint aSentAt,
                                    const base::UpstreamId& aId);
  /** The source doesn't answer; entries may lapse without being removed. */
  void OnSourceLost(base::TimePoint aNow);
  void OnSourceBack(base::TimePoint aNow);
  /**
   * The source came back from an older copy. Upstreams missing from its lists
   * are still used until a list is received after the grace period, in which
   * they announce themselves again. Processes that were removed before don't
   * return, unless the source doesn't report incarnations.
   */
  void OnSourceRolledBack(base::TimePoint aNow);
  /** Removes lapsed entries after the grace period. To be called several times
   * a second. */
  UpstreamEvents OnTick(base::TimePoint aNow);

  std::size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    UpstreamRecord mRecord;
    base::TimePoint mFirstSeen;
    bool mIsLapsed = false;
  };
  using Entries = std::map<base::UpstreamId, Entry>;
  struct RemovedEntry
  {
    Entry mEntry;
    base::TimePoint mRemovedAt;
  };

  /** One process of an upstream. */
  using ProcessId =
    std::pair<base::UpstreamId, std::optional<base::Incarnation>>;

  static ProcessId ProcessOf(const UpstreamRecord& aRecord);
  bool IsSettled(base::TimePoint aNow) const;
  /** \returns whether the entry is that of a process which was removed before
   * the source came back from an older copy. */
  bool IsOfRemovedProcess(const UpstreamRecord& aRecord) const;
  void Take(base::TimePoint aNow, const UpstreamRecord& aRecord,
            UpstreamEvents& aEvents);
  void Add(base::TimePoint aNow, const UpstreamRecord& aRecord,
           UpstreamEvents& aEvents);
  void DropOthersAt(base::TimePoint aNow, const UpstreamRecord& aRecord,
                    UpstreamEvents& aEvents);
  void Remove(base::TimePoint aNow, bool aIsSettled, Entries::iterator aEntry,
              UpstreamEvents& aEvents);
  /** Removes the entry and remembers it. */
  void Erase(base::TimePoint aNow, Entries::iterator aEntry,
             UpstreamEvents& aEvents);

  BookSettings mSettings;
  Entries mEntries;
  std::map<ProcessId, RemovedEntry> mRemoved;
  bool mIsSourceLost = false;
  std::optional<base::TimePoint> mBackAt;
  std::optional<base::TimePoint> mRolledBackAt;
  /** Whether entries of an older copy have not been written again yet. */
  bool mIsRolledBack = false;
};

} // namespace auburnmux::upstreams
