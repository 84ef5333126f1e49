#pragma once

#include "parts.h"
#include "rhubarbarch/net/http_server.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rhubarbarch::platform {
class InstanceListReader;
} // namespace rhubarbarch::platform

namespace rhubarbarch::daemon {

/// The interface of the platform's operator and the reader of the platform's list, with their thread.
class ControlPart
{
public:
  explicit ControlPart(Process& aProcess);
  ~ControlPart();
  ControlPart(const ControlPart&) = delete;
  ControlPart& operator=(const ControlPart&) = delete;

  /// @return kIo when the port cannot be used
  Result<void> listen();
  void start();
  void stop();
  /// Answers an operator; on the thread of the controller role.
  void reply(controller::OperatorReply&& aReply);
  /// Reads the platform's list for the controller; any thread.
  void readUpstreams();
  /// Replaces the controllers that operators are sent to by a process without one; callable from any thread.
  void contacts(std::vector<std::string> aControllers);

private:
  /// A request that the controller role has taken.
  struct OpenRequest
  {
    std::string target;
    TimePoint limit;
  };

  net::HttpServerEvents events();
  void request(router::CallerRequest&& aRequest);
  void answer(const controller::OperatorReply& aReply);
  std::string nextContact(const std::string& aTarget);
  void awaitCheck();
  void answerOverdue();

  Process& mProcess;
  IoThread mThread;
  net::HttpServer mServer;
  net::Inbox<controller::OperatorReply> mReplies;
  boost::asio::steady_timer mTimer{ mThread.context };
  std::map<router::CallerId, OpenRequest> mOpen;
  std::unique_ptr<platform::InstanceListReader> mReader;
  std::vector<std::string> mContacts; ///< endpoints at which controllers listen for peers
  std::size_t mNextContact = 0;
};

} // namespace rhubarbarch::daemon
