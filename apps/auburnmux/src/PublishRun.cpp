#include "auburnmux/src/PublishRun.h"

namespace auburnmux::tool {

namespace {

config::PublicationEvent EventOf(const objects::GetResult& aResult)
{
  if (const auto* found = std::get_if<objects::ObjectFound>(&aResult)) {
    return config::PointerFound{ found->mVersion, found->mBytes };
  }
  if (std::holds_alternative<objects::ObjectNotFound>(aResult)) {
    return config::PointerAbsent{};
  }
  return config::CallFailed{};
}

config::PublicationEvent EventOf(const objects::PutResult& aResult)
{
  if (std::holds_alternative<objects::ObjectStored>(aResult)) {
    return config::WriteDone{};
  }
  if (std::holds_alternative<objects::ConditionFailed>(aResult)) {
    return config::WriteConflict{};
  }
  if (std::holds_alternative<objects::CallRefused>(aResult)) {
    return config::CallFailed{};
  }
  return config::CallUnknown{};
}

/** Executes one action and reports its event. */
class ActionRunner
{
public:
  explicit ActionRunner(Session& aSession)
    : mSession(aSession)
  {
  }

  config::PublicationEvent operator()(const config::ReadPointer&) const
  {
    return EventOf(
      mSession.Get(config::kCurrentObject, objects::CallPurpose::Publish));
  }
  config::PublicationEvent operator()(const config::CreateObject& aAction) const
  {
    return EventOf(
      mSession.Put(aAction.mName, aAction.mBytes, objects::IfAbsent{}));
  }
  config::PublicationEvent operator()(const config::WritePointer& aAction) const
  {
    objects::WriteCondition condition = objects::IfAbsent{};
    if (aAction.mIfVersion.Count() > 0) {
      condition = objects::IfVersion{ aAction.mIfVersion };
    }
    return EventOf(
      mSession.Put(config::kCurrentObject, aAction.mBytes, condition));
  }
  config::PublicationEvent operator()(const config::PublicationOutcome&) const
  {
    return config::CallFailed{};
  }

private:
  Session& mSession;
};

} // namespace

config::PublicationOutcome RunPublication(config::Publication& aPublication,
                                          Session& aSession,
                                          const BaseKnown& aBaseKnown)
{
  config::PublicationAction action = aPublication.Start();
  bool isBaseKnown = false;
  while (!std::holds_alternative<config::PublicationOutcome>(action)) {
    if (std::holds_alternative<config::CreateObject>(action) && !isBaseKnown) {
      isBaseKnown = true;
      aBaseKnown(aPublication);
    }
    const std::uint32_t failures = aPublication.Failures();
    action = aPublication.On(std::visit(ActionRunner(aSession), action));
    if (aPublication.Failures() > failures) {
      aSession.PauseAfterFailure(aPublication.Failures());
    }
  }
  return std::get<config::PublicationOutcome>(action);
}

} // namespace auburnmux::tool
