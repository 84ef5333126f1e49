#include "control_api.h"
#include "instance_list.h"
#include "node_file.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::platform;
using nlohmann::json;

TEST_GROUP(NodeFile)
{
  json node = json::parse(R"({
    "Node": "front-a-1", "Role": "router", "Serves": ["front"], "Ip": "10.1.0.19", "Zone": "a", "Region": "r",
    "Listen": {"Front": "10.1.0.19:8227", "Ready": "10.1.0.19:8220", "Control": "10.1.0.19:8229"},
    "PortRange": [7340, 7355], "Seeds": ["10.1.0.19:8229", "10.2.0.36:8229"], "Bootstrap": true,
    "Limits": {"MemoryMb": 260, "MaxFds": 4100}, "DataDir": "/data/x",
    "Bounds": {"GraceS": 8, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetryBudgetSlack": 60},
    "Cloud": {"Address": "10.200.0.61:8223"}, "Later": {"unknown": [1]}})");
};

// Guards against a router that listens or connects elsewhere than its platform says.
TEST(NodeFile, decodesARouter)
{
  const auto settings = decodeNodeFile(node.dump()).value();
  CHECK(settings.gateway);
  CHECK_FALSE(settings.controller);
  STRCMP_EQUAL("front-a-1", settings.instance.c_str());
  CHECK_EQUAL(8227, settings.caller.listen.port);
  CHECK_EQUAL(8220, settings.gatewaySettings.ready.port);
  CHECK_EQUAL(7341, settings.peer.listen.port);
  CHECK_EQUAL(7342, settings.gatewaySettings.relayPort);
  STRCMP_EQUAL("10.2.0.36:7340", settings.controllers.at(1).instance.c_str());
  CHECK_EQUAL(60, settings.gatewaySettings.retrySlack);
  CHECK(settings.upstreamList.has_value());
}

// Guards against processes that end at each start: the zones of the file were read after they had been destroyed.
TEST(NodeFile, decodesTheZones)
{
  node["Zones"] = { { "lakes-b", "lakes" }, { "lakes-a", "lakes" } };
  const auto settings = decodeNodeFile(node.dump()).value();
  CHECK((settings.dataCentres == std::vector<DataCentre>{ "lakes-a", "lakes-b" }));
}

// Guards against a controller whose name is not the endpoint at which others look for it.
TEST(NodeFile, decodesAController)
{
  node["Serves"] = { "control" };
  const auto settings = decodeNodeFile(node.dump()).value();
  CHECK(settings.controller);
  STRCMP_EQUAL("10.1.0.19:7340", settings.instance.c_str());
  CHECK(settings.controllerSettings.bootstrap);
  CHECK(settings.controllerSettings.openMembership);
  CHECK_EQUAL(8229, settings.controllerSettings.control.port);
  STRCMP_EQUAL("/data/x", settings.dataFolder.c_str());
}

// Guards against a group that gives up voters although more disks may be lost at once than it then bears.
TEST(NodeFile, decodesTheToleratedLosses)
{
  node["Serves"] = { "control" };
  CHECK_EQUAL(1U, decodeNodeFile(node.dump()).value().controllerSettings.lossesTolerated);
  node["Tolerate"] = { { "Machines", 2 }, { "Zones", 0 }, { "Regions", 0 } };
  CHECK_EQUAL(2U, decodeNodeFile(node.dump()).value().controllerSettings.lossesTolerated);
}

// Guards against a machine without a disk, which the platform counts among the controllers, ending at each start.
TEST(NodeFile, decodesAControllerWithoutADisk)
{
  node["Serves"] = { "control" };
  node["DataDir"] = nullptr;
  const auto settings = decodeNodeFile(node.dump()).value();
  CHECK_FALSE(settings.controller);
  CHECK(settings.relay);
  CHECK_EQUAL(8229, settings.controllerSettings.control.port);
}

// Guards against a relay that routers do not find beside an engine.
TEST(NodeFile, decodesARelay)
{
  node["Serves"] = { "side" };
  node["Listen"] = json::object();
  const auto settings = decodeNodeFile(node.dump()).value();
  CHECK(settings.relay);
  STRCMP_EQUAL("10.1.0.19:7342", settings.instance.c_str());
}

// Guards against a broken file starting a process with defaults.
TEST(NodeFile, refusesABrokenFile)
{
  CHECK_FALSE(decodeNodeFile("{").has_value());
  node.erase("Ip");
  CHECK_FALSE(decodeNodeFile(node.dump()).has_value());
}

TEST_GROUP(InstanceList){};

// Guards against an entry that cannot be read hiding the others, or naming an upstream.
TEST(InstanceList, skipsEntriesThatCannotBeRead)
{
  const auto page = decodePage(R"({"Instances": [
    {"Id": "i-1", "Service": "s", "Address": "10.0.0.1:80", "Zone": "a", "State": "ready", "Slots": 6,
     "ColdRemainingMs": 12.5},
    {"Id": "i-2", "Service": "s", "Address": "10.0.0.2:80", "Zone": "a", "State": "dreaming"},
    {"Id": 3, "Service": "s", "Address": "10.0.0.3:80", "Zone": "a", "State": "ready"},
    {"Id": "i-4", "Service": "s", "Address": "nowhere", "Zone": "a", "State": "ready"},
    {"Id": "i-5", "Service": "s", "Address": "10.0.0.5:80", "Zone": "b", "State": "draining"}, 17], "Next": "p-2"})")
                      .value();
  CHECK_EQUAL(2U, page.upstreams.size());
  CHECK_FALSE(page.upstreams[0].leaving);
  CHECK_EQUAL(12, page.upstreams[0].coldMs);
  CHECK(page.upstreams[1].leaving);
  STRCMP_EQUAL("p-2", page.next.c_str());
  CHECK(decodePage(R"({"Instances": [], "Next": null})").value().next.empty());
  CHECK_FALSE(decodePage("{}").has_value());
}

// Guards against one odd entry, left by another writer, making the list unreadable or being called: a number too large
// in any field, deep nesting, numbers and ports out of range, and bytes that are no text.
TEST(InstanceList, readsTheOtherEntriesBesideAnOddOne)
{
  constexpr std::size_t kDepth = 1'000'000;
  const std::string sound = R"("Service": "s", "Address": "10.0.0.1:80", "Zone": "a", "State": "ready")";
  const std::vector<std::string> odd = {
    "{\"Id\": \"o\", \"Extra\": 1e400, " + sound + "}",
    "{\"Id\": \"o\", \"ColdRemainingMs\": 1e400, " + sound + "}",
    "{\"Id\": \"o\", \"ColdRemainingMs\": 1e300, " + sound + "}",
    "{\"Id\": \"o\", \"Slots\": -5, " + sound + "}",
    "{\"Id\": \"o\", \"Slots\": 1e30, " + sound + "}",
    "{\"Id\": \"o\", \"Slots\": 18446744073709551615, " + sound + "}",
    "{\"Id\": \"\xff\xfe]}\", " + sound + "}",
    R"({"Id": "o", "Service": "s", "Address": "10.0.0.1:0", "Zone": "a", "State": "ready"})",
    R"({"Id": "o", "Service": "s", "Address": "10.0.0.1:70000", "Zone": "a", "State": "ready"})",
    "{\"Id\": " + std::string(kDepth, '[') + std::string(kDepth, ']') + ", " + sound + "}",
    R"({"Id": "\"]},{\\"})",
    "nul",
    "[[1]]",
    "",
  };
  for (const auto& entry : odd) {
    for (const bool first : { false, true }) {
      const auto good = "{\"Id\": \"i-1\", " + sound + "}";
      std::vector<std::string> entries{ good, entry };
      if (first) {
        std::ranges::reverse(entries);
      }
      const auto page = decodePage(R"({"Instances": [)" + entries[0] + "," + entries[1] + R"(], "Next": "p-2"})");
      CHECK(page.has_value());
      CHECK_EQUAL(1U, page.value().upstreams.size());
      STRCMP_EQUAL("i-1", page.value().upstreams[0].id.c_str());
      STRCMP_EQUAL("p-2", page.value().next.c_str());
    }
  }
  for (const auto* broken : { R"({"Instances": [{"Id": "x)", R"({"Instances": [)", R"({"Instances": 5})", "", "[]" }) {
    CHECK_FALSE(decodePage(broken).has_value());
  }
}

TEST_GROUP(ControlApi)
{
  std::string location;
};

// Guards against an operator being refused by a controller that does not lead but knows who does.
TEST(ControlApi, sendsOperatorsToTheLeader)
{
  const controller::OperatorReply reply{ {}, 503, { { "error", "not_leader" }, { "leader", "10.2.0.36:7340" } }, "" };
  CHECK_EQUAL(307, encodeAnswer(reply, "/-/config", 8229, location).status);
  STRCMP_EQUAL("http://10.2.0.36:8229/-/config", location.c_str());
}

// Guards against a controller that knows neither a leader nor a document answering as if there were none.
TEST(ControlApi, saysUnavailableWhenItCannotBeSure)
{
  const controller::OperatorReply electing{ {}, 503, { { "error", "not_leader" }, { "leader", "" } }, "" };
  CHECK_EQUAL(503, encodeAnswer(electing, "/-/config", 8229, location).status);
  const controller::OperatorReply none{ {}, 404, { { "error", "not_found" } }, "" };
  CHECK_EQUAL(503, encodeAnswer(none, "/-/config", 8229, location).status);
  CHECK(location.empty());
}

// Guards against the document being read back in another form than it was sent in.
TEST(ControlApi, returnsTheDocumentAsItWasSent)
{
  const controller::OperatorReply reply{ {}, 200, {}, "{ \"Version\" : 7 }" };
  STRCMP_EQUAL("{ \"Version\" : 7 }", encodeAnswer(reply, "/-/config", 8229, location).body.c_str());
}

// Guards against an invalid document reaching the log.
TEST(ControlApi, refusesAnInvalidDocument)
{
  router::CallerRequest request;
  request.method = "PUT";
  request.path = "/-/config";
  request.body = "{";
  CHECK_EQUAL(400, std::get<net::OperatorAnswer>(decodeOperation(request)).status);
  request.method = "GET";
  CHECK(std::holds_alternative<controller::Operation>(decodeOperation(request)));
}
