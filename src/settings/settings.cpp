#include "rhubarbarch/settings/settings.h"

#include "map_reader.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace rhubarbarch::settings {

namespace {

constexpr std::size_t kMinSharedKeyBytes = 16;

void
readEndpoint(MapReader& aReader, const std::string& aKey, Endpoint& aEndpoint)
{
  std::string text;
  aReader.optional(aKey, text);
  if (text.empty()) {
    return;
  }
  const auto parsed = parseEndpoint(text);
  if (parsed) {
    aEndpoint = parsed.value();
  }
  aReader.check(aKey, parsed.has_value(), "must be an IP address and port, for example 127.0.0.1:7101");
}

void
requireEndpoint(MapReader& aReader, const std::string& aKey, Endpoint& aEndpoint)
{
  std::string text;
  aReader.required(aKey, text);
  readEndpoint(aReader, aKey, aEndpoint);
}

void
readRoles(MapReader& aReader, Settings& aSettings)
{
  std::vector<std::string> roles;
  aReader.required("roles", roles);
  for (const auto& role : roles) {
    aSettings.router = aSettings.router || role == "router";
    aSettings.agent = aSettings.agent || role == "agent";
    aSettings.controller = aSettings.controller || role == "controller";
    aReader.check("roles",
                  role == "router" || role == "agent" || role == "controller",
                  "holds '" + role + "'; the roles are router, agent and controller");
  }
  aReader.check("roles", !roles.empty(), "must name at least one role");
}

void
readPeer(ReadContext& aContext, const YAML::Node& aNode, const std::string& aPath, PeerSettings& aPeer)
{
  MapReader reader(aContext, aNode, aPath);
  requireEndpoint(reader, "listen", aPeer.listen);
  reader.required("shared_key", aPeer.sharedKey);
  reader.check("shared_key", aPeer.sharedKey.size() >= kMinSharedKeyBytes, "must have at least 16 characters");
  reader.finish();
}

void
readControllerPeer(ReadContext& aContext, const YAML::Node& aNode, const std::string& aPath, Settings& aSettings)
{
  MapReader reader(aContext, aNode, aPath);
  ControllerPeer peer;
  reader.required("instance", peer.instance);
  requireEndpoint(reader, "endpoint", peer.endpoint);
  const auto isSame = [&](const ControllerPeer& aOther) { return aOther.instance == peer.instance; };
  reader.check("instance", std::ranges::none_of(aSettings.controllers, isSame), "stands twice");
  reader.finish();
  aSettings.controllers.push_back(std::move(peer));
}

void
readController(ReadContext& aContext, const YAML::Node& aNode, const std::string& aPath, ControllerSettings& aSettings)
{
  MapReader reader(aContext, aNode, aPath);
  reader.optional("bootstrap", aSettings.bootstrap);
  Endpoint platform;
  readEndpoint(reader, "platform_list", platform);
  if (platform.port != 0) {
    aSettings.platformList = platform;
  }
  reader.optionalMs("version_load_time_ms", aSettings.versionLoadTime);
  reader.optional("losses_tolerated", aSettings.lossesTolerated);
  reader.check("losses_tolerated", aSettings.lossesTolerated >= 1, "must be at least 1");
  reader.optional("parallel_loads", aSettings.parallelLoads);
  reader.check("parallel_loads", aSettings.parallelLoads >= 1, "must be at least 1");
  reader.optionalMs("move_watch_time_ms", aSettings.moveWatchTime);
  reader.finish();
}

void
readCaller(ReadContext& aContext, const YAML::Node& aNode, const std::string& aPath, CallerSettings& aCaller)
{
  constexpr std::size_t kSmallestLimitBytes = 1024;
  MapReader reader(aContext, aNode, aPath);
  requireEndpoint(reader, "listen", aCaller.listen);
  reader.optional("max_header_bytes", aCaller.maxHeaderBytes);
  reader.check("max_header_bytes", aCaller.maxHeaderBytes >= kSmallestLimitBytes, "must be at least 1024");
  reader.optional("max_body_bytes", aCaller.maxBodyBytes);
  reader.check("max_body_bytes", aCaller.maxBodyBytes >= kSmallestLimitBytes, "must be at least 1024");
  reader.optional("max_connections", aCaller.maxConnections);
  reader.check("max_connections", aCaller.maxConnections >= 1, "must be at least 1");
  reader.optionalMs("receive_timeout_ms", aCaller.receiveTimeout);
  reader.optional("max_held_bytes", aCaller.maxHeldBytes);
  reader.check("max_held_bytes", aCaller.maxHeldBytes >= kSmallestLimitBytes, "must be at least 1024");
  reader.finish();
}

void
readOperators(ReadContext& aContext, const YAML::Node& aNode, const std::string& aPath, OperatorSettings& aOperators)
{
  MapReader reader(aContext, aNode, aPath);
  requireEndpoint(reader, "listen", aOperators.listen);
  reader.optional("token", aOperators.token);
  reader.finish();
}

void
readUpstream(ReadContext& aContext, const YAML::Node& aNode, const std::string& aPath, UpstreamSettings& aUpstream)
{
  MapReader reader(aContext, aNode, aPath);
  requireEndpoint(reader, "endpoint", aUpstream.endpoint);
  reader.required("name", aUpstream.name);
  reader.optional("service", aUpstream.service);
  reader.optional("checks_fence", aUpstream.checksFence);
  reader.optional("kv_capacity_bytes", aUpstream.kvCapacityBytes);
  reader.check("kv_capacity_bytes", aUpstream.kvCapacityBytes >= 1, "must be at least 1");
  reader.optional("kv_bytes_per_token", aUpstream.kvBytesPerToken);
  reader.check("kv_bytes_per_token", aUpstream.kvBytesPerToken >= 1, "must be at least 1");
  reader.optional("max_runs", aUpstream.maxRuns);
  reader.check("max_runs", aUpstream.maxRuns >= 1, "must be at least 1");
  reader.optional("max_queued", aUpstream.maxQueued);
  reader.optional("max_held_bytes", aUpstream.maxHeldBytes);
  reader.finish();
}

void
checkRoles(MapReader& aReader, const Settings& aSettings)
{
  aReader.check("controllers", !aSettings.controllers.empty(), "must name at least one controller");
  const auto isSelf = [&](const ControllerPeer& aPeer) { return aPeer.instance == aSettings.instance; };
  const bool listed = std::ranges::any_of(aSettings.controllers, isSelf);
  aReader.check("controllers", listed || !aSettings.controller, "must name this instance, which is a controller");
  aReader.check("data_folder", !aSettings.controller || !aSettings.dataFolder.empty(), "is required for a controller");
  aReader.check("caller", !aSettings.router || aSettings.caller.listen.port != 0, "is required for a router");
  aReader.check("upstream", !aSettings.agent || !aSettings.upstream.name.empty(), "is required for an agent");
}

Settings
readSettings(ReadContext& aContext, const YAML::Node& aRoot)
{
  Settings settings;
  MapReader reader(aContext, aRoot, "");
  reader.required("instance", settings.instance);
  reader.check("instance", !settings.instance.empty(), "must not be empty");
  reader.required("data_centre", settings.dataCentre);
  reader.optional("data_folder", settings.dataFolder);
  readRoles(reader, settings);
  using Path = std::string;
  reader.optionalNode(
    "peer", [&](const YAML::Node& aNode, const Path& aPath) { readPeer(aContext, aNode, aPath, settings.peer); });
  reader.check("peer", settings.peer.listen.port != 0, "is required, with a port other than 0");
  reader.optionalList("controllers", [&](const YAML::Node& aNode, const Path& aPath) {
    readControllerPeer(aContext, aNode, aPath, settings);
  });
  reader.optionalNode("controller", [&](const YAML::Node& aNode, const Path& aPath) {
    readController(aContext, aNode, aPath, settings.controllerSettings);
  });
  reader.optionalNode(
    "caller", [&](const YAML::Node& aNode, const Path& aPath) { readCaller(aContext, aNode, aPath, settings.caller); });
  reader.optionalNode("operator", [&](const YAML::Node& aNode, const Path& aPath) {
    readOperators(aContext, aNode, aPath, settings.operators);
  });
  reader.optionalNode("upstream", [&](const YAML::Node& aNode, const Path& aPath) {
    readUpstream(aContext, aNode, aPath, settings.upstream);
  });
  reader.optionalMs("shutdown_timeout_ms", settings.shutdownTimeout);
  reader.optional("memory_mb", settings.memoryMb);
  reader.finish();
  checkRoles(reader, settings);
  return settings;
}

} // namespace

Result<Settings>
parseSettings(const std::string& aText, const std::string& aFile)
{
  const auto root = parseDocument(aText, aFile);
  if (!root) {
    return root.as_failure();
  }
  ReadContext context{ aFile, std::nullopt };
  auto settings = readSettings(context, root.value());
  if (context.error) {
    return failure(context.error->code, context.error->detail);
  }
  return settings;
}

Result<Settings>
loadSettings(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return failure(ErrorCode::kIo, aPath + ": cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return parseSettings(text.str(), aPath);
}

} // namespace rhubarbarch::settings
