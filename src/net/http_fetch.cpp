#include "rhubarbarch/net/http_exchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace rhubarbarch::net {

namespace {

using boost::system::error_code;

constexpr std::size_t kMaxFetchBytes = std::size_t{ 4 } * 1024 * 1024;
/// Bound on the time of a fetch, in multiples of its timeout without progress.
constexpr int kMaxFetchTimeouts = 4;

/// A gathered answer, and the limits on its size and time.
struct Fetch : std::enable_shared_from_this<Fetch>
{
  Fetch(boost::asio::io_context& aContext, std::function<void(std::int32_t, const std::string&)> aDone)
    : done(std::move(aDone))
    , timer(aContext)
  {
  }

  void finish(std::int32_t aStatus, const std::string& aText)
  {
    if (!std::exchange(over, true)) {
      timer.cancel();
      done(aStatus, aText);
    }
  }

  void stop(const char* aReason)
  {
    if (const auto running = exchange.lock()) {
      running->cancel();
    }
    finish(0, aReason);
  }

  void add(const std::string& aData)
  {
    body += aData;
    if (body.size() > kMaxFetchBytes) {
      stop("answer exceeds the size limit");
    }
  }

  void limit(Duration aTime)
  {
    timer.expires_after(aTime);
    timer.async_wait([weak = weak_from_this()](const error_code& aError) {
      const auto self = weak.lock();
      if (!aError && self) {
        self->stop("answer exceeds the time limit");
      }
    });
  }

  std::function<void(std::int32_t, const std::string&)> done;
  boost::asio::steady_timer timer;
  std::weak_ptr<HttpExchange> exchange;
  std::int32_t status = 0;
  std::string body;
  bool over = false;
};

} // namespace

std::shared_ptr<HttpExchange>
fetch(std::shared_ptr<HttpPool> aPool,
      HttpCall aCall,
      const std::function<void(std::int32_t, const std::string&)>& aDone)
{
  const auto fetched = std::make_shared<Fetch>(aPool->context, aDone);
  HttpCallEvents events;
  events.head = [fetched](const HttpAnswerHead& aHead) { fetched->status = aHead.status; };
  events.data = [fetched](std::string&& aData) { fetched->add(aData); };
  events.end = [fetched] { fetched->finish(fetched->status, fetched->body); };
  events.error = [fetched](const HttpFailure& aFailure) { fetched->finish(0, aFailure.detail); };
  if (aCall.timeout > Duration{ 0 }) {
    fetched->limit(aCall.connectTimeout + kMaxFetchTimeouts * aCall.timeout);
  }
  auto exchange = startHttpExchange(std::move(aPool), std::move(aCall), std::move(events));
  fetched->exchange = exchange;
  return exchange;
}

} // namespace rhubarbarch::net
