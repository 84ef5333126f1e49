#pragma once

#include "rhubarbarch/agent/options.h"
#include "rhubarbarch/controller/options.h"
#include "rhubarbarch/gateway/options.h"
#include "rhubarbarch/net/http_server.h"
#include "rhubarbarch/relay/relay_role.h"
#include "rhubarbarch/router/options.h"
#include "rhubarbarch/settings/settings.h"

#include <string>

namespace rhubarbarch::daemon {

/// @param aEndpoint `ip:port` of the peer listener in use
router::RouterOptions
routerOptions(const settings::Settings& aSettings, const std::string& aEndpoint);

/// @param aEndpoint `ip:port` of the peer listener in use
agent::AgentOptions
agentOptions(const settings::Settings& aSettings, const std::string& aEndpoint);

controller::ControllerOptions
controllerOptions(const settings::Settings& aSettings);

gateway::GatewayOptions
gatewayOptions(const settings::Settings& aSettings, const std::string& aEndpoint);

relay::RelayOptions
relayOptions(const settings::Settings& aSettings);

/// Server for the platform's operator.
net::HttpServerOptions
controlServerOptions(const settings::Settings& aSettings);

/// @return most bytes that those who connect to the process may make it hold; the largest number: no bound
std::size_t
callerMemory(const settings::Settings& aSettings);

net::HttpServerOptions
callerServerOptions(const settings::CallerSettings& aSettings);

net::HttpServerOptions
operatorServerOptions(const settings::Settings& aSettings);

} // namespace rhubarbarch::daemon
