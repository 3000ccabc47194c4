#pragma once

#include "base/Base.h"
#include "config/src/CurrentPointer.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace auburnmux::config {

/** Read `config/current`. */
struct ReadPointer
{};
/** Create an object; an existing one of this name has the same content. */
struct CreateObject
{
  std::string mName;
  std::string mBytes;
};
/** Write `config/current` if it still has this version; 0 means absent. */
struct WritePointer
{
  std::string mBytes;
  base::ObjectVersion mIfVersion;
};

/** This publication put its snapshot in force. */
struct Published
{
  PublishedVersion mVersion;
  /** A later publication has replaced it since. */
  bool mIsSuperseded = false;
};
/** The same content is in force already; nothing was written. */
struct AlreadyInForce
{
  PublishedVersion mVersion;
};
/** Another publication won the race; nothing of this one is in force. */
struct LostRace
{
  PublishedVersion mWinner;
};
/** Nothing of this publication is in force, and nothing will be. */
struct PublishFailed
{
  std::string mReason;
};
/** The pointer was written and nobody could say whether it took effect. */
struct PublishNotKnown
{
  std::string mReason;
};
using PublicationOutcome = std::variant<Published, AlreadyInForce, LostRace,
                                        PublishFailed, PublishNotKnown>;

using PublicationAction =
  std::variant<ReadPointer, CreateObject, WritePointer, PublicationOutcome>;

/** The pointer exists. */
struct PointerFound
{
  base::ObjectVersion mVersion;
  std::string mBytes;
};
struct PointerAbsent
{};
/** The write took effect. */
struct WriteDone
{};
/** The condition of the write didn't hold. */
struct WriteConflict
{};
/** The call had no effect for certain, or was a read that failed. */
struct CallFailed
{};
/** The answer was lost; the call may have taken effect or may still do so. */
struct CallUnknown
{};
using PublicationEvent = std::variant<PointerFound, PointerAbsent, WriteDone,
                                      WriteConflict, CallFailed, CallUnknown>;

/**
 * One run of publishing: read the pointer, create the snapshot's objects,
 * update the pointer under the condition that it hasn't changed. A lost answer
 * or a conflict is resolved by reading the pointer back; no write goes without
 * a condition. The caller executes one action at a time and reports its event.
 */
class Publication
{
public:
  /** Calls that may fail or stay unanswered before the run gives up. */
  static constexpr std::uint32_t kMaxFailures = 8;

  /**
   * \param aVersion the run's id, time and publisher; its tag is set here.
   * \pre aSnapshot is at most kMaxSnapshotBytes
   */
  Publication(std::string aSnapshot, PublishedVersion aVersion);

  PublicationAction Start() const { return ReadPointer{}; }
  /** \returns the next action, or the outcome, after which no event follows. */
  PublicationAction On(const PublicationEvent& aEvent);

  /** \returns the pointer that this run replaces; unset when there's none. */
  const std::optional<CurrentPointer>& Base() const { return mBase; }
  /** \returns failures so far, for the backoff before the next action. */
  std::uint32_t Failures() const { return mFailures; }

private:
  enum class Step : std::uint8_t
  {
    Reading,
    Creating,
    Writing,
    Resolving
  };

  PublicationAction OnEvent(const PointerFound& aEvent);
  PublicationAction OnEvent(const PointerAbsent& aEvent);
  PublicationAction OnEvent(const WriteDone& aEvent);
  PublicationAction OnEvent(const WriteConflict& aEvent);
  PublicationAction OnEvent(const CallFailed& aEvent);
  PublicationAction OnEvent(const CallUnknown& aEvent);

  PublicationAction Begin(std::optional<CurrentPointer> aBase,
                          base::ObjectVersion aVersion);
  PublicationAction Resolve(const CurrentPointer& aPointer,
                            base::ObjectVersion aVersion);
  PublicationAction Repeat();
  PublicationAction NextPart();
  PublicationAction Write();
  PublicationAction WriteAgain();
  PublicationAction GiveUp(const std::string& aReason) const;
  CurrentPointer Wanted() const;

  std::string mSnapshot;
  PublishedVersion mVersion;
  std::vector<std::string> mNames;
  Step mStep = Step::Reading;
  std::optional<CurrentPointer> mBase;
  base::ObjectVersion mBaseVersion;
  std::size_t mPart = 0;
  std::uint32_t mFailures = 0;
  bool mMayHaveWritten = false;
};

} // namespace auburnmux::config
