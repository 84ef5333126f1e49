#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace rhubarbarch::daemon {

/// An event loop for sockets on a thread of its own.
class IoThread
{
public:
  IoThread()
    : mWork(boost::asio::make_work_guard(context))
  {
  }

  ~IoThread() { stop(); }
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;

  void start()
  {
    mThread = std::thread([this] { context.run(); });
  }

  void stop()
  {
    context.stop();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  boost::asio::io_context context{ 1 };

private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mWork;
  std::thread mThread;
};

} // namespace rhubarbarch::daemon
