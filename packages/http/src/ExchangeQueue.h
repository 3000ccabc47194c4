#pragma once

#include "http/src/ServerExchangeImpl.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <vector>

namespace auburnmux::http::internal {

/**
 * The open exchanges of one connection in the order of their requests. The
 * first one has its turn: its response goes to the connection. Those of the
 * others wait.
 */
class ExchangeQueue
{
public:
  using ExchangePtr = std::shared_ptr<ServerExchangeImpl>;

  /** Exchanges of a connection beyond which no further request is read. */
  static constexpr std::size_t kMaxExchanges = 8;
  /** Bytes of waiting responses beyond which no further request is read. */
  static constexpr std::size_t kMaxWaitingBytes = std::size_t{ 256 } << 10U;

  bool IsEmpty() const { return mExchanges.empty(); }
  std::size_t Size() const { return mExchanges.size(); }
  /** \returns whether no further request may be read. */
  bool IsFull() const;
  /** \pre not empty */
  const ExchangePtr& First() const { return mExchanges.front(); }
  /** \pre not empty */
  const ExchangePtr& Last() const { return mExchanges.back(); }
  bool IsFirst(const ServerExchangeImpl& aExchange) const;
  /** \returns the bytes that wait for their turn, up to the end of
   * \a aExchange's response as far as it is known. */
  std::size_t WaitingBytesUpTo(const ServerExchangeImpl& aExchange) const;

  void Append(ExchangePtr aExchange);
  /** \returns the last exchange, which \a aExchange replaces. \pre not empty */
  ExchangePtr ReplaceLast(ExchangePtr aExchange);
  /** Removes the first exchange. The next one doesn't have its turn before
   * StartTurn() is called. \pre not empty */
  ExchangePtr TakeFirst();
  void StartTurn();
  /** Removes \a aExchange and those behind it. */
  std::vector<ExchangePtr> TakeFrom(const ServerExchangeImpl& aExchange);
  std::vector<ExchangePtr> TakeAll();
  /** \returns the exchanges in \a aScope. */
  std::vector<ExchangePtr> Unanswered(ResponseScope aScope) const;

private:
  std::deque<ExchangePtr> mExchanges;
};

} // namespace auburnmux::http::internal
