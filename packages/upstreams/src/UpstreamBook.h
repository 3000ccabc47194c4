#pragma once

#include "upstreams/src/UpstreamEvent.h"

#include <map>
#include <optional>
#include <vector>

namespace auburnmux::upstreams {

/** What is known of the source behind a list. */
enum class ListSource
{
  /** It may have been away, so that entries may have lapsed unseen. */
  Unsettled,
  /** Another host reads it without a break: what it lacks is gone. */
  SettledElsewhere
};

/** Times of an UpstreamBook. */
struct BookSettings
{
  /**
   * How long after the source's return an upstream that vanished around its
   * outage is still used. Upstreams announce themselves again within 2 s.
   */
  base::Duration mLapseGrace = std::chrono::milliseconds(2000);
};

/**
 * Which upstreams exist, from the lists and changes of one source. It decides
 * about processes that replace one another under an id or an address, and
 * about entries that lapse only because the source was away.
 */
class UpstreamBook
{
public:
  explicit UpstreamBook(const BookSettings& aSettings = {});

  /** Takes the whole list of the source. */
  UpstreamEvents OnList(base::TimePoint aNow,
                        const std::vector<UpstreamRecord>& aRecords,
                        ListSource aSource = ListSource::Unsettled);
  UpstreamEvents OnRecord(base::TimePoint aNow, const UpstreamRecord& aRecord);
  /** The source no longer lists the upstream, or its entry is unreadable. */
  UpstreamEvents OnRemoved(base::TimePoint aNow, const base::UpstreamId& aId);
  /** The source doesn't answer; entries may lapse unseen. */
  void OnSourceLost(base::TimePoint aNow);
  void OnSourceBack(base::TimePoint aNow);
  /** Ends the grace of lapsed entries. To be called several times a second. */
  UpstreamEvents OnTick(base::TimePoint aNow);

  std::size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    UpstreamRecord mRecord;
    bool mIsLapsed = false;
  };
  using Entries = std::map<base::UpstreamId, Entry>;

  bool IsSettled(base::TimePoint aNow) const;
  void Take(const UpstreamRecord& aRecord, UpstreamEvents& aEvents);
  void Add(const UpstreamRecord& aRecord, UpstreamEvents& aEvents);
  void DropOthersAt(const UpstreamRecord& aRecord, UpstreamEvents& aEvents);
  void Remove(bool aIsSettled, Entries::iterator aEntry,
              UpstreamEvents& aEvents);

  BookSettings mSettings;
  Entries mEntries;
  bool mIsSourceLost = false;
  std::optional<base::TimePoint> mBackAt;
};

} // namespace auburnmux::upstreams
