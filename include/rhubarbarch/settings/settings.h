#pragma once

#include "rhubarbarch/base/error.h"
#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbarch::settings {

/// IP address and port.
struct Endpoint
{
  std::string address;
  std::uint16_t port = 0;

  bool operator==(const Endpoint&) const = default;
};

/// `address:port`, with brackets around an IPv6 address.
std::string
toString(const Endpoint& aEndpoint);

/// Parses `address:port` with a numeric IPv4 or a bracketed IPv6 address.
/// @param aText for example `127.0.0.1:7101` or `[::1]:7101`
/// @return the endpoint, or kInvalidArgument. Usage: `auto endpoint = parseEndpoint("127.0.0.1:7101")`.
Result<Endpoint>
parseEndpoint(std::string_view aText);

/// One controller of the fleet.
struct ControllerPeer
{
  InstanceId instance;
  Endpoint endpoint;
};

/// Connections between the system's own processes.
struct PeerSettings
{
  Endpoint listen;
  std::string sharedKey; ///< every process of the fleet proves that it holds it
  Duration heartbeat{ 1000 };
  Duration silence{ 3000 };          ///< without a frame for this long a connection is closed and replaced
  Duration handshakeTimeout{ 3000 }; ///< for a new connection
  Duration longestBackOff{ 3000 };   ///< between two attempts to connect
};

/// Settings of the controller role.
struct ControllerSettings
{
  bool bootstrap = false;               ///< may found a new group when the data folder is empty
  std::optional<Endpoint> platformList; ///< serves `GET /instances`
  Duration versionLoadTime{ 60'000 };   ///< time to load one version from the weight store
  std::uint32_t lossesTolerated = 1;    ///< controllers that may lose their disks at the same time
  std::uint32_t parallelLoads = 2;      ///< loads that the weight store serves at full rate at once
  Duration moveWatchTime{ 60'000 };     ///< how long a new version at full share is watched before the move is done
  bool openMembership = false;          ///< see consensus::ReplicaOptions
  Endpoint control;                     ///< interface of the platform's operator; port 0: none
};

/// Settings of the gateway role.
struct GatewaySettings
{
  Endpoint ready;              ///< where a balancer asks whether the gateway takes callers
  std::uint16_t relayPort = 0; ///< where relays listen beside engines; zero: none
  double retryRatio = 0.1;
  std::int64_t retrySlack = 0;
  Duration retryWindow{ 10'000 };
  double linkRate = 0;                ///< bytes a second that the machine's link carries; zero: unknown
  Duration configurationTime{ 2000 }; ///< within which a confirmed change is in force at all gateways
};

/// Settings of the caller-facing HTTP server.
struct CallerSettings
{
  Endpoint listen;
  std::size_t maxHeaderBytes = std::size_t{ 16 } * 1024;
  std::size_t maxBodyBytes = std::size_t{ 4 } * 1024 * 1024;
  std::size_t maxConnections = 4096;
  Duration receiveTimeout{ 10'000 };                          ///< for the whole header and body
  std::size_t maxHeldBytes = std::size_t{ 64 } * 1024 * 1024; ///< answers held for callers, all together
};

/// Settings of the operators' HTTP server.
struct OperatorSettings
{
  Endpoint listen;
  std::string token; ///< empty: all but health and metrics are refused
};

/// Settings of the agent role: its upstream.
struct UpstreamSettings
{
  Endpoint endpoint;
  std::string name;
  std::string service;      ///< plain service name; empty for a model engine
  bool checksFence = false; ///< the upstream refuses orders with an old fencing number
  std::int64_t kvCapacityBytes = std::int64_t{ 16 } * 1024 * 1024 * 1024;
  std::int64_t kvBytesPerToken = std::int64_t{ 128 } * 1024;
  std::uint32_t maxRuns = 64;                                 ///< runs at the upstream at once
  std::uint32_t maxQueued = 256;                              ///< runs waiting in the agent
  std::size_t maxHeldBytes = std::size_t{ 64 } * 1024 * 1024; ///< answers held, all together
};

/// Everything in the settings file of one process.
struct Settings
{
  InstanceId instance;
  DataCentre dataCentre;
  std::vector<DataCentre> dataCentres; ///< all of the deployment; empty: not known
  std::string dataFolder;              ///< controllers only
  bool router = false;
  bool agent = false;
  bool controller = false;
  bool gateway = false; ///< a router that calls upstreams itself
  bool relay = false;   ///< passes polls of cut-off gateways on
  PeerSettings peer;
  std::vector<ControllerPeer> controllers;
  ControllerSettings controllerSettings;
  CallerSettings caller;
  OperatorSettings operators;
  UpstreamSettings upstream;
  GatewaySettings gatewaySettings;
  std::optional<Endpoint> upstreamList; ///< serves the platform's list of upstreams; gateways and controllers
  Duration shutdownTimeout{ 60'000 };   ///< for a graceful shutdown
  std::size_t memoryMb = 0;             ///< of the process; zero: what its callers may make it hold is not bounded
};

/// Parses and checks a settings document.
/// @param aText YAML
/// @param aFile name used in error messages
/// @return the settings; kUnknownKey, kMissingKey, kInvalidArgument or kParse with file, line and key in the detail.
/// Usage: `auto settings = parseSettings(text, "entry-1.yaml")`.
Result<Settings>
parseSettings(const std::string& aText, const std::string& aFile);

/// Reads, parses and checks a settings file; kIo when it cannot be read.
Result<Settings>
loadSettings(const std::string& aPath);

} // namespace rhubarbarch::settings
