#include "commands.h"

#include <gflags/gflags.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

DEFINE_string(server, "127.0.0.1:7301", "operator endpoints of the controllers, separated by commas");
DEFINE_string(token_file, "", "file that holds the operators' token");
DEFINE_bool(json, false, "print answers as JSON");
DEFINE_bool(watch, false, "follow a requested move to its end");
DEFINE_string(request_id, "", "id of a change; a repeat with the same id gets the first outcome");
DEFINE_int64(expected, -1, "revision that the list must have; -1: the one in force now");
DEFINE_int64(deadline, 0, "seconds from now by which a move must be done");
DEFINE_int64(timeout_ms, 15000, "time to find a controller that answers");

namespace {

using namespace rhubarbarch;

std::string
readToken()
{
  if (!FLAGS_token_file.empty()) {
    std::ifstream file(FLAGS_token_file);
    std::string token;
    std::getline(file, token);
    return token;
  }
  const char* token = std::getenv("RHUBARBARCH_TOKEN");
  return token == nullptr ? "" : token;
}

std::string
randomRequestId()
{
  std::random_device device;
  std::ostringstream id;
  id << std::hex << device() << device();
  return id.str();
}

Result<std::vector<settings::Endpoint>>
parseServers(const std::string& aText)
{
  std::vector<settings::Endpoint> servers;
  std::istringstream parts(aText);
  std::string part;
  while (std::getline(parts, part, ',')) {
    const auto endpoint = settings::parseEndpoint(part);
    if (!endpoint) {
      return endpoint.as_failure();
    }
    servers.push_back(endpoint.value());
  }
  return servers;
}

ctl::CommandOptions
commandOptions()
{
  ctl::CommandOptions options;
  options.json = FLAGS_json;
  options.watch = FLAGS_watch;
  options.requestId = FLAGS_request_id.empty() ? randomRequestId() : FLAGS_request_id;
  if (FLAGS_expected >= 0) {
    options.expected = static_cast<std::uint64_t>(FLAGS_expected);
  }
  options.deadline = std::chrono::seconds{ FLAGS_deadline };
  options.now = [] { return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()); };
  return options;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage(ctl::usageText());
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  const auto servers = parseServers(FLAGS_server);
  if (!servers || servers.value().empty()) {
    std::cerr << "rhubarbarchctl: --server: " << (servers ? "names no server" : servers.error().detail) << '\n';
    return static_cast<int>(ctl::ExitCode::kUsage);
  }
  ctl::ClientOptions client;
  client.servers = servers.value();
  client.token = readToken();
  client.totalTimeout = Duration{ FLAGS_timeout_ms };
  client.pause = [](Duration aDuration) { std::this_thread::sleep_for(aDuration); };
  const std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  const auto code = ctl::runCommand(arguments, client, commandOptions(), { std::cout, std::cerr });
  return static_cast<int>(code);
}
