#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>
#include <sys/time.h>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <future>
#include <mutex>
#include <string>
#include <thread>

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

/// A blocking TCP connection, so that tests control each byte.
class RawSocket
{
public:
  explicit RawSocket(std::uint16_t aPort)
    : mSocket(mContext)
  {
    mSocket.connect({ boost::asio::ip::make_address("127.0.0.1"), aPort });
    limit();
  }

  explicit RawSocket(boost::asio::ip::tcp::acceptor& aAcceptor)
    : mSocket(mContext)
  {
    aAcceptor.accept(mSocket);
    limit();
  }

  /// Sends bytes; a peer that has closed is not an error. @return whether the bytes were taken
  bool send(const std::string& aBytes)
  {
    boost::system::error_code error;
    boost::asio::write(mSocket, boost::asio::buffer(aBytes), error);
    return !error;
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
    while (!text.ends_with(aEnd) && ::recv(mSocket.native_handle(), &symbol, 1, 0) == 1) {
      text += symbol;
    }
    return text;
  }

  /// @return everything up to the close of the connection
  std::string readAll()
  {
    std::string text;
    std::string part(std::size_t{ 64 } * 1024, '\0');
    for (;;) {
      const auto got = ::recv(mSocket.native_handle(), part.data(), part.size(), 0);
      if (got <= 0) {
        return text;
      }
      text.append(part, 0, static_cast<std::size_t>(got));
    }
  }

  void close() { mSocket.close(); }

  /// Resets the connection, as the system of a crashed process does with unread bytes.
  void reset()
  {
    mSocket.set_option(boost::asio::socket_base::linger(true, 0));
    mSocket.close();
  }

private:
  void limit()
  {
    const timeval limit{ kTestLimit.count(), 0 };
    ::setsockopt(mSocket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  }

  boost::asio::io_context mContext;
  boost::asio::ip::tcp::socket mSocket;
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
