#pragma once

#include "membership/Membership.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburnmux::membership::test {

using namespace std::chrono_literals;

/** Simulates a fleet of hosts in virtual time, with network delays, cut links,
 * paused hosts and killed hosts. */
class Fleet
{
public:
  struct Node
  {
    HostIdentity mIdentity;
    std::unique_ptr<Membership> mMembership;
    bool mIsAlive = true;
    bool mIsPaused = false;
    std::uint64_t mSent = 0;
    std::uint64_t mBytes = 0;
    std::vector<Action> mChanges;
  };

  /** Distributes the hosts round-robin over \a aCentres data centres, with two
   * data centres in each region. */
  Fleet(std::size_t aHosts, std::size_t aCentres, std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    for (std::size_t it = 0; it < aHosts; ++it) {
      const std::size_t centre = it % aCentres;
      HostIdentity id;
      id.mId = base::HostId("host-" + std::to_string(it));
      id.mIncarnation = base::Incarnation(1764830000000 + it);
      id.mDataCentre =
        base::DataCentreId("region-" + std::to_string(centre / 2) +
                           (centre % 2 == 0 ? "-a" : "-b"));
      id.mRegion = base::RegionId("region-" + std::to_string(centre / 2));
      id.mAddress = "10." + std::to_string(centre) + "." +
                    std::to_string(it / 250) + "." + std::to_string(it % 250);
      id.mHttpPort = base::PortNumber(8080);
      id.mPeerPort = base::PortNumber(7080);
      mNodes.emplace_back();
      mNodes.back().mIdentity = id;
      mByAddress[id.mAddress] = it;
      Start(it);
    }
  }

  /** Starts or restarts host \a aIndex, with the first three hosts as seeds. */
  void Start(std::size_t aIndex)
  {
    Node& node = mNodes[aIndex];
    node.mIdentity.mIncarnation += base::Incarnation(1000);
    MembershipSettings settings{ node.mIdentity, {}, {} };
    for (std::size_t it = 0; it < mNodes.size() && it < 3; ++it) {
      settings.mSeeds.push_back(mNodes[it].mIdentity.Peer());
    }
    node.mMembership = std::make_unique<Membership>(
      settings, mNow, base::Random(mRandom.Next()));
    node.mIsAlive = true;
    const auto phase = std::chrono::microseconds(mRandom.Below(50000));
    ++mGenerations[aIndex];
    Push(mNow + phase, { aIndex, aIndex, true, nullptr, false, {}, 0, 0 });
  }

  void Kill(std::size_t aIndex)
  {
    mNodes[aIndex].mIsAlive = false;
    ++mGenerations[aIndex];
  }
  void Pause(std::size_t aIndex) { mNodes[aIndex].mIsPaused = true; }
  void Resume(std::size_t aIndex)
  {
    mNodes[aIndex].mIsPaused = false;
    std::vector<Event> paused;
    paused.swap(mPausedEvents[aIndex]);
    for (Event& it : paused) {
      Handle(it);
    }
  }

  void Run(base::Duration aTime)
  {
    const base::TimePoint end = mNow + aTime;
    while (!mEvents.empty() && mEvents.top().mTime <= end) {
      Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mTime;
      if (event.mGeneration == mGenerations[event.mTo] || !event.mIsTick) {
        Handle(event);
      }
    }
    mNow = end;
  }

  /** \returns whether all running hosts that \a aFilter selects see \a aSubject
   * in \a aState. */
  bool AllSee(
    std::size_t aSubject, HostState aState,
    const std::function<bool(std::size_t)>& aFilter = [](std::size_t) {
      return true;
    }) const
  {
    return CountSeeing(aSubject, aState, aFilter, false) == 0;
  }

  /** \returns how many running hosts that \a aFilter selects see \a aSubject in
   * \a aState, or in another state if \a aIsSeeing is false. */
  std::size_t CountSeeing(std::size_t aSubject, HostState aState,
                          const std::function<bool(std::size_t)>& aFilter,
                          bool aIsSeeing) const
  {
    std::size_t count = 0;
    for (std::size_t it = 0; it < mNodes.size(); ++it) {
      if (mNodes[it].mIsAlive && it != aSubject && aFilter(it)) {
        const auto state =
          mNodes[it].mMembership->StateOf(mNodes[aSubject].mIdentity.mId);
        count += (state == aState) == aIsSeeing ? 1 : 0;
      }
    }
    return count;
  }

  /** \returns whether every running host sees all running hosts as alive. */
  bool IsComplete() const
  {
    for (std::size_t it = 0; it < mNodes.size(); ++it) {
      if (mNodes[it].mIsAlive && !AllSee(it, HostState::Alive)) {
        return false;
      }
    }
    return true;
  }

  /** \returns how many changes to \a aState all hosts have reported so far. */
  std::size_t CountChanges(HostState aState) const
  {
    std::size_t count = 0;
    for (const Node& node : mNodes) {
      for (const Action& it : node.mChanges) {
        const auto* change = std::get_if<HostChanged>(&it);
        count += change != nullptr && change->mState == aState ? 1 : 0;
      }
    }
    return count;
  }

  /** Carries out the actions of host \a aFrom. */
  void Perform(std::size_t aFrom, Actions aActions)
  {
    for (Action& it : aActions) {
      if (auto* heartbeat = std::get_if<SendHeartbeat>(&it)) {
        Send(aFrom, heartbeat->mTo, std::move(heartbeat->mPayload), false);
      } else if (auto* ack = std::get_if<SendHeartbeatAck>(&it)) {
        Send(aFrom, ack->mTo, std::move(ack->mPayload), true);
      } else {
        mNodes[aFrom].mChanges.push_back(std::move(it));
      }
    }
  }

  base::TimePoint mNow{ 1000s };
  std::vector<Node> mNodes;
  std::function<bool(std::size_t, std::size_t)> mIsCut =
    [](std::size_t, std::size_t) { return false; };
  std::function<std::size_t(const HeartbeatPayload&)> mMessageSize =
    [](const HeartbeatPayload&) { return std::size_t(0); };
  /** One-way delay between regions. */
  base::Duration mRegionDelay = 35ms;

private:
  struct Event
  {
    std::size_t mFrom = 0;
    std::size_t mTo = 0;
    bool mIsTick = false;
    std::shared_ptr<HeartbeatPayload> mPayload;
    bool mIsAck = false;
    base::TimePoint mTime;
    std::uint64_t mOrder = 0;
    std::uint64_t mGeneration = 0;

    friend bool operator<(const Event& aLeft, const Event& aRight)
    {
      return aLeft.mTime != aRight.mTime ? aLeft.mTime > aRight.mTime
                                         : aLeft.mOrder > aRight.mOrder;
    }
  };

  void Push(base::TimePoint aTime, Event aEvent)
  {
    aEvent.mTime = aTime;
    aEvent.mOrder = ++mOrder;
    aEvent.mGeneration = mGenerations[aEvent.mTo];
    mEvents.push(std::move(aEvent));
  }

  void Send(std::size_t aFrom, const PeerAddress& aTo,
            HeartbeatPayload aPayload, bool aIsAck)
  {
    Node& from = mNodes[aFrom];
    ++from.mSent;
    from.mBytes += mMessageSize(aPayload);
    const auto it = mByAddress.find(aTo.mAddress);
    if (it == mByAddress.end() || mIsCut(aFrom, it->second)) {
      return;
    }
    Event event{
      aFrom,  it->second,
      false,  std::make_shared<HeartbeatPayload>(std::move(aPayload)),
      aIsAck, {},
      0,      0
    };
    const HostIdentity& to = mNodes[it->second].mIdentity;
    base::Duration delay = mRegionDelay;
    if (to.mDataCentre == from.mIdentity.mDataCentre) {
      delay = 200us;
    } else if (to.mRegion == from.mIdentity.mRegion) {
      delay = 1ms;
    }
    Push(mNow + delay, std::move(event));
  }

  void Handle(const Event& aEvent)
  {
    Node& node = mNodes[aEvent.mTo];
    if (!node.mIsAlive) {
      return;
    }
    if (node.mIsPaused) {
      mPausedEvents[aEvent.mTo].push_back(aEvent);
      return;
    }
    if (aEvent.mIsTick) {
      Perform(aEvent.mTo, node.mMembership->OnTick(mNow));
      Push(mNow + 50ms,
           { aEvent.mTo, aEvent.mTo, true, nullptr, false, {}, 0, 0 });
    } else if (aEvent.mIsAck) {
      Perform(aEvent.mTo,
              node.mMembership->OnHeartbeatAck(mNow, *aEvent.mPayload));
    } else {
      Perform(aEvent.mTo,
              node.mMembership->OnHeartbeat(mNow, *aEvent.mPayload));
    }
  }

  base::Random mRandom;
  std::priority_queue<Event> mEvents;
  std::uint64_t mOrder = 0;
  std::unordered_map<std::string, std::size_t> mByAddress;
  /** Incremented by each start and kill of a host, so that ticks of an earlier
   * start are ignored. */
  std::unordered_map<std::size_t, std::uint64_t> mGenerations;
  std::unordered_map<std::size_t, std::vector<Event>> mPausedEvents;
};

} // namespace auburnmux::membership::test
