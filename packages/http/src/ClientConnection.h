#pragma once

#include "http/src/Client.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct lws;

namespace auburnmux::http::internal {

/** One request of a Client on a libwebsockets connection. */
class ClientConnection final : public ClientExchange
{
public:
  /** What becomes of the connection when the exchange lets go of it. */
  enum class Release
  {
    Idle,
    Closed
  };
  using OnRelease = std::function<void(Release)>;

  ClientConnection(Loop& aLoop, const ClientRequest& aRequest,
                   std::shared_ptr<ResponseObserver> aObserver,
                   OnRelease aOnRelease, std::weak_ptr<const void> aOwner);
  ~ClientConnection() override;
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  bool MayHaveReached() const override { return mMayHaveReached; }
  base::ByteCount PendingBytes() const override;
  void SendBody(std::string_view aPart) override;
  void PauseReading(bool aIsPaused) override;
  void Cancel() override;

  /** \returns whether it was neither cancelled nor failed. */
  bool IsWanted() const { return mObserver != nullptr; }
  /** Binds the connection that libwebsockets made; may be null. */
  void Attach(lws* aWsi);
  /** Keeps the object alive until its connection is released. */
  void KeepAlive(std::shared_ptr<ClientConnection> aSelf);

  /** Drops the observer once the client is gone: nobody waits any more. */
  void ForgetIfOrphaned();
  int HandleHandshake(lws* aWsi, unsigned char** aPosition, std::size_t aRoom);
  int HandleHead(lws* aWsi);
  int HandleReadable(lws* aWsi);
  void HandleBody(std::string_view aPart);
  int HandleWritable(lws* aWsi);
  /** \returns -1 when the connection can't carry another request. */
  int HandleCompleted(lws* aWsi);
  void HandleBroken();

private:
  void Fail(FailureKind aKind);
  void FailLater(FailureKind aKind);
  void ReleaseConnection(Release aRelease);
  void StopConnectTimer();
  void CloseConnection();

  Loop& mLoop;
  ClientRequest mRequest;
  std::shared_ptr<ResponseObserver> mObserver;
  OnRelease mOnRelease;
  std::weak_ptr<const void> mOwner;
  std::shared_ptr<ClientConnection> mSelf;
  lws* mWsi = nullptr;
  std::optional<Loop::TimerId> mConnectTimer;
  std::string mOut;
  std::size_t mOutStart;
  std::size_t mUnsentBody = 0;
  std::optional<std::size_t> mBodyLeft;
  bool mIsStarting = true;
  bool mMayHaveReached = false;
  bool mHasHead = false;
  bool mIsPaused = false;
  bool mHasUnread = false;
};

} // namespace auburnmux::http::internal
