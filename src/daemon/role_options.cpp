#include "role_options.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace rhubarbarch::daemon {

namespace {

// Lists of a large fleet are applied in one request.
constexpr std::size_t kMaxOperatorBody = std::size_t{ 64 } * 1024 * 1024;
constexpr std::size_t kMaxOperatorConnections = 64;
constexpr std::size_t kBytesPerMb = std::size_t{ 1024 } * 1024;
// Callers get half of a process's memory. The rest is code, tables, logs and what the allocator cannot use.
constexpr std::size_t kCallerMemoryDivisor = 2;
// A list or configuration is held as text, as parsed JSON and as state, some five times its size; a quarter of the
// account holds it.
constexpr std::size_t kOperatorBodyDivisor = 8;

// Before the end of a shutdown: for the last answers to leave a gateway.
constexpr Duration kLastAnswersTime{ 500 };
// Part of the bytes held for callers that answers may take until they are complete. Usual ones have some kilobytes.
constexpr std::size_t kGatheredDivisor = 4;

std::size_t
operatorBodyLimit(const settings::Settings& aSettings)
{
  const auto memory = aSettings.memoryMb * kBytesPerMb;
  return memory == 0 ? kMaxOperatorBody : std::min(kMaxOperatorBody, memory / kOperatorBodyDivisor);
}

std::vector<InstanceId>
controllerNames(const settings::Settings& aSettings)
{
  std::vector<InstanceId> names;
  std::ranges::transform(aSettings.controllers, std::back_inserter(names), &settings::ControllerPeer::instance);
  return names;
}

} // namespace

router::RouterOptions
routerOptions(const settings::Settings& aSettings, const std::string& aEndpoint)
{
  router::RouterOptions options;
  options.instance = aSettings.instance;
  options.dataCentre = aSettings.dataCentre;
  options.endpoint = aEndpoint;
  options.maxRequests = aSettings.caller.maxConnections;
  options.maxHeldBytes = aSettings.caller.maxHeldBytes;
  for (const auto& controller : aSettings.controllers) {
    options.controllers.push_back({ controller.instance, settings::toString(controller.endpoint) });
  }
  return options;
}

agent::AgentOptions
agentOptions(const settings::Settings& aSettings, const std::string& aEndpoint)
{
  const auto& upstream = aSettings.upstream;
  agent::AgentOptions options;
  options.instance = aSettings.instance;
  options.dataCentre = aSettings.dataCentre;
  options.endpoint = aEndpoint;
  options.controllers = controllerNames(aSettings);
  options.upstream = { upstream.name, upstream.service, upstream.checksFence, upstream.kvCapacityBytes };
  options.maxRunning = upstream.maxRuns;
  options.maxQueued = upstream.maxQueued;
  options.kvBytesPerToken = upstream.kvBytesPerToken;
  options.keepTotal = upstream.maxHeldBytes;
  options.shutdownLimit = std::min(options.shutdownLimit, aSettings.shutdownTimeout);
  return options;
}

controller::ControllerOptions
controllerOptions(const settings::Settings& aSettings)
{
  controller::ControllerOptions options;
  options.replica.instance = aSettings.instance;
  options.replica.controllers = controllerNames(aSettings);
  options.replica.bootstrap = aSettings.controllerSettings.bootstrap;
  options.replica.openMembership = aSettings.controllerSettings.openMembership;
  options.replica.lossesTolerated = aSettings.controllerSettings.lossesTolerated;
  options.dataCentres = aSettings.dataCentres;
  options.gateways.readUpstreams = aSettings.upstreamList.has_value();
  options.moves.loadTime = aSettings.controllerSettings.versionLoadTime;
  options.moves.parallelLoads = static_cast<std::int32_t>(aSettings.controllerSettings.parallelLoads);
  options.moves.watchPeriod = aSettings.controllerSettings.moveWatchTime;
  return options;
}

gateway::GatewayOptions
gatewayOptions(const settings::Settings& aSettings, const std::string& aEndpoint)
{
  gateway::GatewayOptions options;
  options.instance = aSettings.instance;
  options.dataCentre = aSettings.dataCentre;
  options.endpoint = aEndpoint;
  options.controllers = controllerNames(aSettings);
  options.relayPort = aSettings.gatewaySettings.relayPort;
  options.maxHeldBytes = aSettings.caller.maxHeldBytes;
  // One answer of the largest size has to fit.
  options.maxGatheredBytes = std::max(aSettings.caller.maxHeldBytes / kGatheredDivisor, options.maxAnswerBytes);
  options.retryRatio = aSettings.gatewaySettings.retryRatio;
  options.retrySlack = aSettings.gatewaySettings.retrySlack;
  options.retryWindow = aSettings.gatewaySettings.retryWindow;
  options.linkRate = aSettings.gatewaySettings.linkRate;
  options.maxConfirmationAge = aSettings.gatewaySettings.configurationTime;
  options.longestLeave = std::min(options.longestLeave, aSettings.shutdownTimeout - kLastAnswersTime);
  return options;
}

relay::RelayOptions
relayOptions(const settings::Settings& aSettings)
{
  relay::RelayOptions options;
  options.controllers = controllerNames(aSettings);
  std::erase(options.controllers, aSettings.instance);
  return options;
}

std::size_t
callerMemory(const settings::Settings& aSettings)
{
  return aSettings.memoryMb == 0 ? std::numeric_limits<std::size_t>::max()
                                 : aSettings.memoryMb * kBytesPerMb / kCallerMemoryDivisor;
}

net::HttpServerOptions
callerServerOptions(const settings::CallerSettings& aSettings)
{
  net::HttpServerOptions options;
  options.name = "caller";
  options.listen = aSettings.listen;
  options.maxHeaderBytes = aSettings.maxHeaderBytes;
  options.maxBodyBytes = aSettings.maxBodyBytes;
  options.maxConnections = aSettings.maxConnections;
  options.receiveTimeout = aSettings.receiveTimeout;
  return options;
}

net::HttpServerOptions
controlServerOptions(const settings::Settings& aSettings)
{
  net::HttpServerOptions options;
  options.name = "control";
  options.listen = aSettings.controllerSettings.control;
  options.maxBodyBytes = operatorBodyLimit(aSettings);
  options.maxConnections = kMaxOperatorConnections;
  options.passFields = true;
  return options;
}

net::HttpServerOptions
operatorServerOptions(const settings::Settings& aSettings)
{
  net::HttpServerOptions options;
  options.name = "operator";
  options.listen = aSettings.operators.listen;
  options.maxBodyBytes = operatorBodyLimit(aSettings);
  options.maxConnections = kMaxOperatorConnections;
  return options;
}

} // namespace rhubarbarch::daemon
