#include "rhubarbarch/net/platform_poller.h"

#include "rhubarbarch/net/http_exchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace rhubarbarch::net {

namespace {

constexpr std::int32_t kOk = 200;

} // namespace

struct PlatformPoller::State : std::enable_shared_from_this<PlatformPoller::State>
{
  State(boost::asio::io_context& aContext,
        PlatformOptions aOptions,
        std::function<void(controller::PlatformList&&)> aUse,
        std::function<void(LogLine&&)> aLog)
    : options(std::move(aOptions))
    , use(std::move(aUse))
    , log(std::move(aLog))
    , pool(std::make_shared<HttpPool>(HttpPool{ aContext, options.endpoint, {} }))
    , timer(aContext)
  {
  }

  void poll()
  {
    HttpCall call;
    call.target = "/instances";
    call.timeout = options.timeout;
    call.repeatable = true;
    fetch(pool, std::move(call), [weak = weak_from_this()](std::int32_t aStatus, const std::string& aBody) {
      if (const auto self = weak.lock()) {
        self->polled(aStatus, aBody);
        self->awaitNext();
      }
    });
  }

  void polled(std::int32_t aStatus, const std::string& aBody)
  {
    std::string problem;
    if (aStatus == kOk) {
      try {
        const auto json = nlohmann::json::parse(aBody);
        use({ json.at("live").get<std::vector<InstanceId>>(), json.at("leaving").get<std::vector<InstanceId>>() });
      } catch (const nlohmann::json::exception& error) {
        problem = error.what();
      }
    } else {
      problem = aStatus == 0 ? aBody : "status " + std::to_string(aStatus);
    }
    // Logged on a change only, so that a platform that is down does not fill the log.
    if (!problem.empty() && problem != lastProblem) {
      log({ Severity::kWarning, "platform_poll_failed", { { "detail", problem } } });
    }
    lastProblem = problem;
  }

  void awaitNext()
  {
    timer.expires_after(options.period);
    timer.async_wait([weak = weak_from_this()](const boost::system::error_code& aError) {
      const auto self = weak.lock();
      if (!aError && self) {
        self->poll();
      }
    });
  }

  PlatformOptions options;
  std::function<void(controller::PlatformList&&)> use;
  std::function<void(LogLine&&)> log;
  std::shared_ptr<HttpPool> pool;
  boost::asio::steady_timer timer;
  std::string lastProblem;
};

PlatformPoller::PlatformPoller(boost::asio::io_context& aContext,
                               PlatformOptions aOptions,
                               std::function<void(controller::PlatformList&&)> aUse,
                               std::function<void(LogLine&&)> aLog)
  : mState(std::make_shared<State>(aContext, std::move(aOptions), std::move(aUse), std::move(aLog)))
{
  mState->poll();
}

PlatformPoller::~PlatformPoller() = default;

} // namespace rhubarbarch::net
