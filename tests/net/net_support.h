#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <future>
#include <mutex>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace rhubarbarch::net {

/// Longest wait for a condition. Only a failing test takes that long.
inline constexpr std::chrono::seconds kTestLimit{ 30 };

/// State that callbacks of another thread change and the test waits for.
template<typename T>
class Watched
{
public:
  /// Changes the state, for example `seen.change([](auto& aState) { ++aState.count; })`.
  template<typename Change>
  void change(Change aChange)
  {
    {
      const std::scoped_lock lock(mMutex);
      aChange(mState);
    }
    mChanged.notify_all();
  }

  /// @return whether the condition became true in time
  bool wait(const std::function<bool(const T&)>& aCondition)
  {
    std::unique_lock lock(mMutex);
    return mChanged.wait_for(lock, kTestLimit, [&] { return aCondition(mState); });
  }

  T copy()
  {
    const std::scoped_lock lock(mMutex);
    return mState;
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  T mState{};
};

/// An event loop on a thread of its own.
class LoopThread
{
public:
  LoopThread()
    : mWork(boost::asio::make_work_guard(context))
    , mThread([this] { context.run(); })
  {
  }

  ~LoopThread() { stop(); }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  /// Runs a task on the loop and waits for it.
  void run(const std::function<void()>& aTask)
  {
    std::promise<void> done;
    boost::asio::post(context, [&] {
      aTask();
      done.set_value();
    });
    done.get_future().wait();
  }

  void stop()
  {
    context.stop();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  boost::asio::io_context context;

private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mWork;
  std::thread mThread;
};

/// A blocking TCP connection, so that tests control each byte. It uses system calls, since clang-tidy takes the lock
/// that Asio holds while it makes a socket for held at each later wait.
class RawSocket
{
public:
  explicit RawSocket(std::uint16_t aPort)
    : mSocket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (mSocket < 0 || ::connect(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      close();
      throw std::runtime_error("no connection to port " + std::to_string(aPort));
    }
    limit();
  }

  explicit RawSocket(boost::asio::ip::tcp::acceptor& aAcceptor)
    : mSocket(::accept4(aAcceptor.native_handle(), nullptr, nullptr, SOCK_CLOEXEC))
  {
    if (mSocket < 0) {
      throw std::runtime_error("no connection was accepted");
    }
    limit();
  }

  ~RawSocket() { close(); }
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;
  RawSocket(RawSocket&&) = delete;
  RawSocket& operator=(RawSocket&&) = delete;

  /// Sends bytes; a peer that has closed is not an error. @return whether the bytes were taken
  bool send(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      const auto sent = ::send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (sent < 0) {
        return false;
      }
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  /// Sends the same bytes over and over until the peer closes or `aMost` bytes were taken.
  /// @return whether the peer closed
  bool sendWithoutEnd(const std::string& aBytes, std::size_t aMost)
  {
    for (std::size_t taken = 0; taken < aMost; taken += aBytes.size()) {
      if (!send(aBytes)) {
        return true;
      }
    }
    return false;
  }

  /// @return what was received up to and including `aEnd`, or up to the close of the connection
  std::string readUntil(const std::string& aEnd)
  {
    std::string text;
    char symbol = 0;
    while (!text.ends_with(aEnd) && ::recv(mSocket, &symbol, 1, 0) == 1) {
      text += symbol;
    }
    return text;
  }

  /// @return aBytes bytes, or fewer when the connection closes
  std::string read(std::size_t aBytes)
  {
    std::string text(aBytes, '\0');
    const auto got = ::recv(mSocket, text.data(), text.size(), MSG_WAITALL);
    text.resize(got < 0 ? 0 : static_cast<std::size_t>(got));
    return text;
  }

  /// @return everything up to the close of the connection
  std::string readAll()
  {
    std::string text;
    std::string part(std::size_t{ 64 } * 1024, '\0');
    for (;;) {
      const auto got = ::recv(mSocket, part.data(), part.size(), 0);
      if (got <= 0) {
        mWasReset = got < 0 && errno == ECONNRESET;
        return text;
      }
      text.append(part, 0, static_cast<std::size_t>(got));
    }
  }

  /// @return whether the peer closed or reset the connection
  bool awaitClose() const
  {
    pollfd waited{ mSocket, POLLRDHUP, 0 };
    return ::poll(&waited, 1, std::chrono::milliseconds(kTestLimit).count()) == 1;
  }

  /// @return whether readAll() ended with a reset of the connection, not with its close
  bool wasReset() const { return mWasReset; }

  void close()
  {
    if (mSocket >= 0) {
      ::close(std::exchange(mSocket, -1));
    }
  }

  /// Closes the connection in the direction to the peer only.
  void closeSending() { ::shutdown(mSocket, SHUT_WR); }

  /// Resets the connection, as the system of a crashed process does with unread bytes.
  void reset()
  {
    const linger resets{ 1, 0 };
    ::setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &resets, sizeof resets);
    close();
  }

private:
  void limit()
  {
    const timeval limit{ kTestLimit.count(), 0 };
    ::setsockopt(mSocket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  }

  int mSocket;
  bool mWasReset = false;
};

/// A listening port whose connections the test accepts itself.
class RawListener
{
public:
  RawListener()
    : acceptor(mContext, { boost::asio::ip::make_address("127.0.0.1"), 0 })
  {
  }

  std::uint16_t port() const { return acceptor.local_endpoint().port(); }

private:
  boost::asio::io_context mContext;

public:
  boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace rhubarbarch::net
