#pragma once

#include "http/Http.h"

#include <set>

namespace auburnmux::standins {

/** The open connections of a server, with a limit and a way to silence them. */
class ConnectionTable final : public http::ConnectionObserver
{
public:
  explicit ConnectionTable(base::ConnectionCount aLimit)
    : mLimit(aLimit)
  {
  }

  bool OnOpen(int aDescriptor) override;
  void OnClose(int aDescriptor) override { mOpen.erase(aDescriptor); }

  /** Lets nothing more arrive on the open connections, not even a close. */
  void Silence();

  std::size_t Open() const { return mOpen.size(); }
  std::size_t MaxOpen() const { return mMaxOpen; }
  std::size_t Refused() const { return mRefused; }

private:
  base::ConnectionCount mLimit;
  std::set<int> mOpen;
  std::size_t mMaxOpen = 0;
  std::size_t mRefused = 0;
};

} // namespace auburnmux::standins
