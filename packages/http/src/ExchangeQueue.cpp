#include "http/src/ExchangeQueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace auburnmux::http::internal {

bool ExchangeQueue::IsFull() const
{
  return Size() >= kMaxExchanges ||
         (!IsEmpty() && WaitingBytesUpTo(*Last()) > kMaxWaitingBytes);
}

bool ExchangeQueue::IsFirst(const ServerExchangeImpl& aExchange) const
{
  return !IsEmpty() && First().get() == &aExchange;
}

std::size_t ExchangeQueue::WaitingBytesUpTo(
  const ServerExchangeImpl& aExchange) const
{
  std::size_t n = 0;
  for (const ExchangePtr& it : mExchanges) {
    n += it->WaitingBytes();
    if (it.get() == &aExchange) {
      break;
    }
  }
  return n;
}

void ExchangeQueue::Append(ExchangePtr aExchange)
{
  mExchanges.push_back(std::move(aExchange));
  if (Size() == 1) {
    StartTurn();
  }
}

ExchangeQueue::ExchangePtr ExchangeQueue::ReplaceLast(ExchangePtr aExchange)
{
  ExchangePtr replaced = std::exchange(mExchanges.back(), std::move(aExchange));
  if (Size() == 1) {
    StartTurn();
  }
  return replaced;
}

ExchangeQueue::ExchangePtr ExchangeQueue::TakeFirst()
{
  ExchangePtr first = std::move(mExchanges.front());
  mExchanges.pop_front();
  return first;
}

void ExchangeQueue::StartTurn()
{
  if (!IsEmpty()) {
    First()->HandleTurn();
  }
}

std::vector<ExchangeQueue::ExchangePtr> ExchangeQueue::TakeFrom(
  const ServerExchangeImpl& aExchange)
{
  const auto begin =
    std::find_if(mExchanges.begin(), mExchanges.end(),
                 [&](const auto& aIt) { return aIt.get() == &aExchange; });
  std::vector<ExchangePtr> taken(std::make_move_iterator(begin),
                                 std::make_move_iterator(mExchanges.end()));
  mExchanges.erase(begin, mExchanges.end());
  return taken;
}

std::vector<ExchangeQueue::ExchangePtr> ExchangeQueue::TakeAll()
{
  std::deque<ExchangePtr> all = std::exchange(mExchanges, {});
  return { std::make_move_iterator(all.begin()),
           std::make_move_iterator(all.end()) };
}

std::vector<ExchangeQueue::ExchangePtr> ExchangeQueue::Unanswered(
  ResponseScope aScope) const
{
  auto end = mExchanges.end();
  if (aScope == ResponseScope::Blocking) {
    end =
      std::find_if(mExchanges.rbegin(), mExchanges.rend(), [](const auto& aIt) {
        return aIt->IsFinished();
      }).base();
  }
  std::vector<ExchangePtr> unanswered;
  std::copy_if(
    mExchanges.begin(), end, std::back_inserter(unanswered),
    [](const auto& aIt) { return aIt->IsStarted() && !aIt->IsHeadSent(); });
  return unanswered;
}

} // namespace auburnmux::http::internal
