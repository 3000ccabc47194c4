#pragma once

#include "base/Base.h"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace auburnmux::standins {

/** How long the host list takes to show that a host came or went. */
struct HostListLags
{
  base::Duration mListing = std::chrono::seconds(1);
  base::Duration mDropping = std::chrono::seconds(30);
};

/**
 * The platform's lagging list of hosts. A real platform learns of hosts by
 * itself, from starting and stopping them; here hosts announce themselves
 * repeatedly, and one whose announcements stop is dropped after the lag.
 */
class HostList
{
public:
  explicit HostList(HostListLags aLags)
    : mLags(aLags)
  {
  }

  void Announce(const std::string& aId, const nlohmann::json& aFields,
                base::TimePoint aNow);
  /** \returns the list as it shows at \a aNow. */
  nlohmann::json List(base::TimePoint aNow);

private:
  struct Change
  {
    base::TimePoint mShown;
    nlohmann::json mFields;
  };
  struct Entry
  {
    base::TimePoint mAnnounced;
    nlohmann::json mLatest;
    nlohmann::json mListed;
    std::deque<Change> mPending;
  };

  HostListLags mLags;
  std::map<std::string, Entry> mHosts;
};

} // namespace auburnmux::standins
