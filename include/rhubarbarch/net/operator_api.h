#pragma once

#include "rhubarbarch/base/metric.h"
#include "rhubarbarch/controller/events.h"
#include "rhubarbarch/net/http_server.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace rhubarbarch::net {

/// An answer of the operator server that needs no controller.
struct OperatorAnswer
{
  std::int32_t status = 200;
  std::string contentType = "application/json";
  std::string body;
};

/// Turns a request into an operation of the controller.
/// @param aRequest request with method, path and body
/// @return the operation, or the answer that tells what is wrong with the request.
/// Usage: `auto parsed = parseOperation(request)`.
std::variant<controller::Operation, OperatorAnswer>
parseOperation(const router::CallerRequest& aRequest);

/// Metrics in the text exposition format, with `# TYPE` lines.
/// @param aMetrics samples in any order; labels are the text between the braces
/// @return the page. Usage: `metricsPage({{"rhubarbarch_up", "", 1}})`.
std::string
metricsPage(Metrics aMetrics);

/// A label for Metric::labels, with the value escaped. Usage: `metricLabel("plan", plan)`.
std::string
metricLabel(std::string_view aName, std::string_view aValue);

/// Callbacks, all on the thread of the event loop.
struct OperatorEvents
{
  std::function<bool(controller::OperatorRequest&&)> request; ///< false: this process has no controller
  std::function<void(LogLine&&)> log;
  std::function<bool()> ready;
  std::function<Metrics()> metrics;
};

/// HTTP server for operators, with bearer token, and for health and metrics, without.
///
/// Usage: construct, listen(), then answer each `request` with reply(); a controller that does not answer within
/// 30 s is reported with 504.
class OperatorServer
{
public:
  /// @param aToken token that operators must present; empty: only health and metrics are served
  OperatorServer(boost::asio::io_context& aContext,
                 HttpServerOptions aOptions,
                 std::string aToken,
                 OperatorEvents aEvents);
  ~OperatorServer();
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  /// @return kIo when the port cannot be used
  Result<void> listen();
  std::uint16_t port() const;
  void reply(const controller::OperatorReply& aReply);
  void stop();
  std::size_t answersInProgress() const noexcept;
  Metrics metrics() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace rhubarbarch::net
