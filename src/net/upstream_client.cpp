#include "rhubarbarch/net/upstream_client.h"

#include "rhubarbarch/net/http_exchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <unordered_map>

namespace rhubarbarch::net {

namespace {

using agent::ExchangeId;

constexpr std::string_view kEnginePrefix = "/engine/";
constexpr std::int32_t kOk = 200;

void
addField(HttpCall& aCall, const char* aName, const std::string& aValue)
{
  // A line break in a value would start another field.
  const bool clean = std::ranges::none_of(aValue, [](char aChar) { return aChar == '\r' || aChar == '\n'; });
  if (!aValue.empty() && clean) {
    aCall.fields.emplace_back(aName, aValue);
  }
}

HttpCall
makeCall(const agent::UpstreamStart& aStart, const UpstreamOptions& aOptions)
{
  HttpCall call;
  call.method = aStart.method;
  call.target = aStart.path;
  call.body = std::make_shared<const std::string>(aStart.body);
  call.connectTimeout = aOptions.connectTimeout;
  call.timeout = aStart.timeout;
  call.repeatable = aStart.path.starts_with(kEnginePrefix);
  call.keep = call.repeatable;
  addField(call, "Content-Type", aStart.contentType);
  addField(call, "X-Request-Id", aStart.requestId);
  addField(call, "Idempotency-Key", aStart.idempotencyKey);
  addField(call, "X-Priority", aStart.priority == Priority::kReview ? "review" : "chat");
  addField(call, "X-Model", aStart.model);
  addField(call, "X-Model-Version", aStart.version);
  if (aStart.outputCap != 0) {
    addField(call, "X-Max-Tokens", std::to_string(aStart.outputCap));
  }
  if (aStart.fence != FenceNumber{}) {
    addField(call, "X-Fence", std::to_string(toNumber(aStart.fence)));
  }
  if (aStart.resumeOffset != 0) {
    addField(call, "X-Resume-Offset", std::to_string(aStart.resumeOffset));
  }
  return call;
}

agent::LoadReport
parseLoad(const std::string& aBody)
{
  const auto json = nlohmann::json::parse(aBody);
  agent::LoadReport report;
  report.kvUsedBytes = json.at("kv_used_bytes").get<std::int64_t>();
  report.kvCapacityBytes = json.at("kv_capacity_bytes").get<std::int64_t>();
  report.running = json.at("running").get<std::int64_t>();
  for (const auto& loaded : json.at("loaded")) {
    report.loaded.push_back({ loaded.at("model").get<ModelName>(), loaded.at("version").get<VersionName>() });
  }
  return report;
}

std::vector<agent::CacheEvent>
parseCacheEvents(const std::string& aBody)
{
  const auto json = nlohmann::json::parse(aBody);
  std::vector<agent::CacheEvent> events;
  for (const auto& event : json.at("events")) {
    events.push_back({ event.at("sequence").get<std::uint64_t>(),
                       event.at("stored").get<bool>(),
                       event.at("prefix_hash").get<std::uint64_t>() });
  }
  return events;
}

} // namespace

struct UpstreamClient::State : std::enable_shared_from_this<UpstreamClient::State>
{
  State(boost::asio::io_context& aContext, UpstreamOptions aOptions, UpstreamEvents aEvents)
    : options(std::move(aOptions))
    , events(std::move(aEvents))
    , pool(std::make_shared<HttpPool>(HttpPool{ aContext, options.endpoint, {}, 4 }))
    , timer(aContext)
  {
  }

  HttpCallEvents callbacks(ExchangeId aId)
  {
    HttpCallEvents callbacks;
    const auto weak = weak_from_this();
    callbacks.head = [weak, aId](const HttpAnswerHead& aHead) {
      emit(weak, agent::UpstreamHead{ aId, aHead.status, aHead.contentType });
    };
    callbacks.data = [weak, aId](std::string&& aData) { emit(weak, agent::UpstreamData{ aId, std::move(aData) }); };
    callbacks.end = [weak, aId] { over(weak, aId, agent::UpstreamEnd{ aId }); };
    callbacks.error = [weak, aId](const HttpFailure& aFailure) {
      over(weak, aId, agent::UpstreamError{ aId, aFailure.kind, aFailure.detail });
    };
    callbacks.congested = [weak] {
      const auto self = weak.lock();
      return self && self->events.congested();
    };
    return callbacks;
  }

  static void emit(const std::weak_ptr<State>& aState, agent::Event aEvent)
  {
    if (const auto self = aState.lock()) {
      self->events.event(std::move(aEvent));
    }
  }

  static void over(const std::weak_ptr<State>& aState, ExchangeId aId, agent::Event aEvent)
  {
    if (const auto self = aState.lock()) {
      self->failures += std::holds_alternative<agent::UpstreamError>(aEvent) ? 1 : 0;
      self->exchanges.erase(aId);
      self->running = self->exchanges.size();
      self->events.event(std::move(aEvent));
    }
  }

  void tellCancelled(const std::string& aRequest)
  {
    HttpCall call;
    call.method = "POST";
    call.target = "/engine/cancel";
    call.fields.emplace_back("Content-Type", "application/json");
    call.body = std::make_shared<const std::string>(nlohmann::json{ { "request_id", aRequest } }.dump());
    call.connectTimeout = options.connectTimeout;
    call.timeout = options.orderTimeout;
    call.repeatable = true;
    call.keep = true;
    const auto weak = weak_from_this();
    fetch(pool, std::move(call), [weak, aRequest](std::int32_t aStatus, const std::string& aBody) {
      const auto self = weak.lock();
      if (self && (aStatus < 200 || aStatus > 299)) {
        const auto detail = aStatus == 0 ? aBody : "status " + std::to_string(aStatus);
        self->events.log(
          { Severity::kWarning, "upstream_cancel_failed", { { "request", aRequest }, { "detail", detail } } });
      }
    });
  }

  // Polls of a model engine. One round is over before the next begins.

  void poll()
  {
    get(
      "/engine/load",
      [this](const std::string& aBody) { events.event(parseLoad(aBody)); },
      [this] {
        get(
          "/engine/cache_events?after=" + std::to_string(lastSequence),
          [this](const std::string& aBody) { cacheEvents(aBody); },
          [this] { awaitNextPoll(); });
      });
  }

  void cacheEvents(const std::string& aBody)
  {
    for (const auto& event : parseCacheEvents(aBody)) {
      lastSequence = std::max(lastSequence, event.sequence);
      events.event(event);
    }
  }

  void get(const std::string& aTarget,
           const std::function<void(const std::string&)>& aUse,
           const std::function<void()>& aNext)
  {
    HttpCall call;
    call.target = aTarget;
    call.connectTimeout = options.connectTimeout;
    call.timeout = options.pollTimeout;
    call.repeatable = true;
    call.keep = true;
    const auto weak = weak_from_this();
    fetch(pool, std::move(call), [weak, aUse, aNext](std::int32_t aStatus, const std::string& aBody) {
      if (const auto self = weak.lock()) {
        self->polled(aStatus, aBody, aUse);
        aNext();
      }
    });
  }

  void polled(std::int32_t aStatus, const std::string& aBody, const std::function<void(const std::string&)>& aUse)
  {
    std::string problem;
    if (aStatus == kOk) {
      try {
        aUse(aBody);
      } catch (const nlohmann::json::exception& error) {
        problem = error.what();
      }
    } else {
      problem = aStatus == 0 ? aBody : "status " + std::to_string(aStatus);
    }
    // Logged on a change only: an upstream that is down would fill the log twice a second.
    if (problem != lastProblem && !problem.empty()) {
      events.log({ Severity::kWarning, "upstream_poll_failed", { { "detail", problem } } });
    }
    lastProblem = problem;
    pollFailures += problem.empty() ? 0 : 1;
  }

  void awaitNextPoll()
  {
    timer.expires_after(options.pollPeriod);
    timer.async_wait([weak = weak_from_this()](const boost::system::error_code& aError) {
      const auto self = weak.lock();
      if (!aError && self) {
        self->poll();
      }
    });
  }

  UpstreamOptions options;
  UpstreamEvents events;
  std::shared_ptr<HttpPool> pool;
  boost::asio::steady_timer timer;
  std::unordered_map<ExchangeId, std::shared_ptr<HttpExchange>> exchanges;
  std::uint64_t lastSequence = 0;
  std::string lastProblem;
  std::atomic<std::size_t> running{ 0 };
  std::atomic<std::uint64_t> started{ 0 };
  std::atomic<std::uint64_t> failures{ 0 };
  std::atomic<std::uint64_t> pollFailures{ 0 };
};

UpstreamClient::UpstreamClient(boost::asio::io_context& aContext, UpstreamOptions aOptions, UpstreamEvents aEvents)
  : mState(std::make_shared<State>(aContext, std::move(aOptions), std::move(aEvents)))
{
}

UpstreamClient::~UpstreamClient()
{
  for (const auto& [id, exchange] : mState->exchanges) {
    exchange->cancel();
  }
  mState->exchanges.clear();
  mState->timer.cancel();
}

void
UpstreamClient::startPolls()
{
  if (mState->options.modelEngine) {
    mState->poll();
  }
}

void
UpstreamClient::handle(const agent::UpstreamStart& aStart)
{
  ++mState->started;
  auto& exchange = mState->exchanges[aStart.exchange];
  exchange = startHttpExchange(mState->pool, makeCall(aStart, mState->options), mState->callbacks(aStart.exchange));
  mState->running = mState->exchanges.size();
}

void
UpstreamClient::handle(const agent::UpstreamPause& aPause)
{
  const auto found = mState->exchanges.find(aPause.exchange);
  if (found != mState->exchanges.end()) {
    found->second->pause();
  }
}

void
UpstreamClient::handle(const agent::UpstreamContinue& aContinue)
{
  const auto found = mState->exchanges.find(aContinue.exchange);
  if (found != mState->exchanges.end()) {
    // Held by a copy, because the end of the answer may erase the exchange.
    const auto exchange = found->second;
    exchange->resume();
  }
}

void
UpstreamClient::handle(const agent::UpstreamCancel& aCancel)
{
  const auto found = mState->exchanges.find(aCancel.exchange);
  if (found != mState->exchanges.end()) {
    found->second->cancel();
    mState->exchanges.erase(found);
    mState->running = mState->exchanges.size();
  }
  if (aCancel.tellUpstream && mState->options.modelEngine) {
    mState->tellCancelled(aCancel.requestId);
  }
}

Metrics
UpstreamClient::metrics() const
{
  const auto number = [](const auto& aCount) { return static_cast<double>(aCount.load()); };
  return { { "rhubarbarch_upstream_exchanges_in_progress", "", number(mState->running) },
           { "rhubarbarch_upstream_exchanges_total", "", number(mState->started) },
           { "rhubarbarch_upstream_exchange_failures_total", "", number(mState->failures) },
           { "rhubarbarch_upstream_poll_failures_total", "", number(mState->pollFailures) } };
}

} // namespace rhubarbarch::net
