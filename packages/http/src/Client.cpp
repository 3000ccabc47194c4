#include "http/src/Client.h"

#include "http/src/ClientConnection.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburnmux::http {

using internal::ClientConnection;
using internal::ClientLink;

namespace {

// How often idle connections are checked.
constexpr base::Duration kSweepPeriod = std::chrono::milliseconds(500);

} // namespace

struct Client::Impl final : ClientLink::Owner
{
  using Links = std::vector<std::shared_ptr<ClientLink>>;

  Impl(Loop& aLoop, ClientOptions aOptions)
    : mLoop(aLoop)
    , mOptions(std::move(aOptions))
  {
  }

  void OnIdle(const std::shared_ptr<ClientLink>& aLink) override
  {
    // The last one was used most recently.
    mIdle[aLink->To()].push_back(aLink);
  }
  void OnLinkClosed(const ClientLink& aLink) override;

  std::shared_ptr<ClientLink> TakeIdle(const ClientRequest& aRequest);
  std::shared_ptr<ClientLink> Open(const ClientRequest& aRequest);
  void Sweep();

  Loop& mLoop;
  ClientOptions mOptions;
  Loop::TimerId mSweep;
  std::uint64_t mOpened = 0;
  std::unordered_map<const ClientLink*, std::shared_ptr<ClientLink>> mLinks;
  std::map<Endpoint, Links> mIdle;
};

void Client::Impl::OnLinkClosed(const ClientLink& aLink)
{
  const auto idle = mIdle.find(aLink.To());
  if (idle != mIdle.end()) {
    Links& links = idle->second;
    links.erase(std::remove_if(
                  links.begin(), links.end(),
                  [&](const auto& aOther) { return aOther.get() == &aLink; }),
                links.end());
    if (links.empty()) {
      mIdle.erase(idle);
    }
  }
  mLinks.erase(&aLink);
}

std::shared_ptr<ClientLink> Client::Impl::TakeIdle(
  const ClientRequest& aRequest)
{
  const auto idle = mIdle.find(aRequest.mEndpoint);
  if (aRequest.mNeedsFreshConnection || idle == mIdle.end()) {
    return nullptr;
  }
  std::shared_ptr<ClientLink> link = idle->second.back();
  if (!link->IsUsable(mLoop.Now(), aRequest.mMaxIdle)) {
    return nullptr; // the others were idle for longer
  }
  idle->second.pop_back();
  if (idle->second.empty()) {
    mIdle.erase(idle);
  }
  return link;
}

std::shared_ptr<ClientLink> Client::Impl::Open(const ClientRequest& aRequest)
{
  auto link =
    std::make_shared<ClientLink>(mLoop, *this, aRequest.mEndpoint, mOptions);
  if (!link->Connect(aRequest.mConnectTimeout)) {
    return nullptr;
  }
  ++mOpened;
  mLinks.emplace(link.get(), link);
  return link;
}

void Client::Impl::Sweep()
{
  const base::TimePoint now = mLoop.Now();
  Links expired;
  for (const auto& [endpoint, links] : mIdle) {
    std::copy_if(links.begin(), links.end(), std::back_inserter(expired),
                 [&](const std::shared_ptr<ClientLink>& aLink) {
                   return !aLink->IsUsable(now, mOptions.mMaxIdle);
                 });
  }
  for (const auto& it : expired) {
    it->Close();
  }
}

Client::Client(Loop& aLoop, std::string aSource)
  : Client(aLoop, ClientOptions{ std::move(aSource) })
{
}

Client::Client(Loop& aLoop, ClientOptions aOptions)
  : mImpl(std::make_unique<Impl>(aLoop, std::move(aOptions)))
{
  mImpl->mSweep =
    aLoop.Every(kSweepPeriod, [impl = mImpl.get()] { impl->Sweep(); });
}

Client::~Client()
{
  mImpl->mLoop.Cancel(mImpl->mSweep);
  const auto links = mImpl->mLinks;
  for (const auto& [key, link] : links) {
    if (const auto exchange = link->Close()) {
      exchange->Forget();
    }
  }
}

std::shared_ptr<ClientExchange> Client::Send(
  const ClientRequest& aRequest, std::shared_ptr<ResponseObserver> aObserver)
{
  auto exchange = std::make_shared<ClientConnection>(mImpl->mLoop, aRequest,
                                                     std::move(aObserver));
  std::shared_ptr<ClientLink> link = mImpl->TakeIdle(aRequest);
  if (!link) {
    link = mImpl->Open(aRequest);
  }
  if (link) {
    link->Start(exchange);
  } else {
    mImpl->mLoop.Post(
      [exchange] { exchange->HandleFailure(FailureKind::ConnectRefused); });
  }
  return exchange;
}

void Client::CloseIdle(const Endpoint& aEndpoint)
{
  const auto idle = mImpl->mIdle.find(aEndpoint);
  if (idle != mImpl->mIdle.end()) {
    const Impl::Links links = idle->second;
    for (const auto& it : links) {
      it->Close();
    }
  }
}

std::uint64_t Client::OpenedConnections() const
{
  return mImpl->mOpened;
}

} // namespace auburnmux::http
