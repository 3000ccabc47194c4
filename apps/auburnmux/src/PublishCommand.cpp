#include "auburnmux/src/Commands.h"

#include "auburnmux/src/FindingsOutput.h"
#include "auburnmux/src/InForceWait.h"
#include "auburnmux/src/PublishRun.h"
#include "auburnmux/src/SnapshotStore.h"
#include "auburnmux/src/Text.h"

#include <random>

namespace auburnmux::tool {

namespace {

/** \returns 128 random bits as hexadecimal digits. */
config::PublicationId NewPublicationId()
{
  constexpr const char* kHex = "0123456789abcdef";
  constexpr int kDigits = 32;
  std::random_device source;
  std::string text;
  for (int it = 0; it < kDigits; ++it) {
    text += kHex[source() & 15U];
  }
  return config::PublicationId(text);
}

/** Prints each step and collects what --json prints at the end. */
class PublishReport
{
public:
  PublishReport(const Options& aOptions, Session& aSession,
                const Output& aOutput)
    : mOptions(aOptions)
    , mSession(aSession)
    , mOutput(aOutput)
  {
  }

  /** Shows what the publication would change. */
  void ShowBase(const config::Publication& aPublication,
                const config::Snapshot& aSnapshot)
  {
    config::Snapshot before;
    if (aPublication.Base()) {
      const auto read = ReadSnapshot(mSession, *aPublication.Base());
      if (const auto* error = std::get_if<ReadError>(&read)) {
        Say("the difference can't be shown: " + error->mReason);
        return;
      }
      before = std::get<config::Snapshot>(read);
    }
    ShowChanges("changes", before, aSnapshot);
  }

  ExitCode operator()(const config::AlreadyInForce& aOutcome)
  {
    Say("nothing to publish: version " + VersionText(aOutcome.mVersion) +
        " has the same content");
    return WaitFor("unchanged", aOutcome.mVersion);
  }

  ExitCode operator()(const config::Published& aOutcome)
  {
    Say("published version " + VersionText(aOutcome.mVersion) +
        (aOutcome.mIsSuperseded ? "; a later version has replaced it" : ""));
    return WaitFor("published", aOutcome.mVersion);
  }

  ExitCode operator()(const config::LostRace& aOutcome)
  {
    Fail("lost_race", "not published: " + aOutcome.mWinner.mPublishedBy +
                        " published version " + VersionText(aOutcome.mWinner) +
                        " at " + TimeText(aOutcome.mWinner.mPublishedAt) +
                        "; publish again after reading the changes");
    ShowWinner();
    return Finish(ExitCode::Failed);
  }

  ExitCode operator()(const config::PublishFailed& aOutcome)
  {
    Fail("failed", "not published: " + aOutcome.mReason);
    return Finish(ExitCode::Failed);
  }

  ExitCode operator()(const config::PublishNotKnown& aOutcome)
  {
    Fail("not_known",
         "it is not known whether this was published: " + aOutcome.mReason +
           "; see auburnmux history before publishing again");
    return Finish(ExitCode::Failed);
  }

  /** Keeps the snapshot that this run was going to replace. */
  void KeepBase(const config::Publication& aPublication)
  {
    mBase = aPublication.Base();
  }

private:
  static std::string VersionText(const config::PublishedVersion& aVersion)
  {
    return std::to_string(aVersion.mTag.mVersion.Count());
  }

  void Say(const std::string& aText)
  {
    if (!mOptions.mIsJson) {
      mOutput.mOut << Printable(aText) << '\n';
    }
  }

  void Fail(const char* aOutcome, const std::string& aText)
  {
    mJson["outcome"] = aOutcome;
    mJson["message"] = aText;
    mOutput.mError << "publish: " << Printable(aText) << '\n';
  }

  void ShowChanges(const char* aKey, const config::Snapshot& aBefore,
                   const config::Snapshot& aAfter)
  {
    mJson[aKey] = nlohmann::json::array();
    for (const config::SnapshotChange& it :
         config::DiffSnapshots(aBefore, aAfter)) {
      const std::string text = config::ChangeText(it);
      mJson[aKey].push_back(text);
      Say(text);
    }
  }

  /** Shows what the winner of a race changed. */
  void ShowWinner()
  {
    const PointerRead current = ReadCurrent(mSession);
    const auto* pointer = std::get_if<config::CurrentPointer>(&current);
    if (pointer == nullptr) {
      return;
    }
    const SnapshotRead after = ReadSnapshot(mSession, *pointer);
    const SnapshotRead before = mBase ? ReadSnapshot(mSession, *mBase)
                                      : SnapshotRead{ config::Snapshot{} };
    const auto* left = std::get_if<config::Snapshot>(&before);
    const auto* right = std::get_if<config::Snapshot>(&after);
    if (left != nullptr && right != nullptr) {
      Say("changes of version " + VersionText(pointer->mCurrent) + ':');
      ShowChanges("winner_changes", *left, *right);
    }
  }

  ExitCode WaitFor(const char* aOutcome,
                   const config::PublishedVersion& aVersion)
  {
    const InForceReport report =
      WaitUntilInForce(mSession, aVersion.mTag.mVersion, mOptions.mWait);
    const std::chrono::duration<double> took = report.mTook;
    mJson["outcome"] = aOutcome;
    mJson["version"] = aVersion.mTag.mVersion.Count();
    mJson["digest"] = aVersion.mTag.mDigest.Text();
    mJson["hosts"] = report.mHosts;
    mJson["behind"] = report.mBehind;
    mJson["silent"] = report.mSilent;
    mJson["in_force_s"] = took.count();
    mJson["in_force_everywhere"] = report.IsEverywhere();
    for (const std::string& it : report.mBehind) {
      mOutput.mError << "publish: not yet in force at " << it << '\n';
    }
    for (const std::string& it : report.mSilent) {
      mOutput.mError << "publish: no answer from " << it << '\n';
    }
    if (!report.mIsListKnown) {
      mOutput.mError << "publish: the list of hosts can't be read\n";
    }
    Say("in force at " +
        std::to_string(report.mHosts - report.mBehind.size() -
                       report.mSilent.size()) +
        " of " + std::to_string(report.mHosts) + " hosts after " +
        std::to_string(took.count()) + " s");
    return Finish(report.IsEverywhere() ? ExitCode::Done : ExitCode::Failed);
  }

  ExitCode Finish(ExitCode aCode)
  {
    if (mOptions.mIsJson) {
      PrintJson(mJson, mOutput.mOut);
    }
    return aCode;
  }

  const Options& mOptions;
  Session& mSession;
  const Output& mOutput;
  nlohmann::json mJson = nlohmann::json::object();
  std::optional<config::CurrentPointer> mBase;
};

} // namespace

ExitCode RunPublish(const Options& aOptions, Session& aSession,
                    const Output& aOutput)
{
  const CollectedFiles files = CollectFiles(aOptions.mDirectories);
  if (!files.mReport.IsGood()) {
    PrintFindings(files.mReport, aOutput);
    if (aOptions.mIsJson) {
      PrintJson({ { "outcome", "findings" },
                  { "findings", FindingsJson(files.mReport.mErrors) } },
                aOutput.mOut);
    }
    return ExitCode::BadInput;
  }
  std::string bytes = config::EncodeSnapshot(files.mSnapshot);
  const auto decoded = config::DecodeSnapshot(bytes);
  if (const auto* error = std::get_if<config::SnapshotError>(&decoded)) {
    aOutput.mError << "publish: no host could read the snapshot: "
                   << error->mDetail << '\n';
    return ExitCode::BadInput;
  }
  config::Publication publication(
    std::move(bytes),
    { {}, NewPublicationId(), http::Loop::WallNow(), aOptions.mPublisher });
  PublishReport report(aOptions, aSession, aOutput);
  const config::PublicationOutcome outcome = RunPublication(
    publication, aSession, [&](const config::Publication& aPublication) {
      report.KeepBase(aPublication);
      report.ShowBase(aPublication, files.mSnapshot);
    });
  return std::visit(report, outcome);
}

} // namespace auburnmux::tool
