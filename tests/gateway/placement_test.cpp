#include "placement.h"
#include "retry_share.h"
#include "route_index.h"

#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::gateway;

TEST_GROUP(Placement)
{
  Service service{ "engine", "", 100, true, { 64, 100000, 3 } };
  Upstreams upstreams;
  TimePoint now{ Duration{ 5000 } };

  void setup() override
  {
    std::vector<UpstreamEntry> list;
    for (int i = 0; i < 6; ++i) {
      const auto name = std::to_string(i);
      list.push_back({ "e" + name, "engine", "10.0.0." + name + ":80", "a", "v1", 64, 0, false });
    }
    applyList(upstreams, list, now, now);
  }

  static std::vector<PromptPart> prompt(int aSession, int aRequest)
  {
    return { { "catalogue", 2000 },
             { "s" + std::to_string(aSession), 4000 },
             { "q" + std::to_string(aRequest), 1000 } };
  }

  gateway::Placement choose(const std::vector<PromptPart>& aPrompt)
  {
    PlacementRequest request;
    request.service = &service;
    request.prompt = &aPrompt;
    request.promptTokens = 7000;
    request.dataCentre = "a";
    request.target = Duration{ 600 };
    return place(upstreams, request, now);
  }
};

// Load pattern: sessions with long shared prompts. Guards against each request of a session reading its prompt anew.
TEST(Placement, keepsASessionAtOneUpstream)
{
  for (int session = 0; session < 20; ++session) {
    const auto first = choose(prompt(session, 1)).upstream;
    for (int request = 2; request < 6; ++request) {
      CHECK(choose(prompt(session, request)).upstream == first);
    }
  }
}

// Load pattern: many sessions at once. Guards against a few upstreams getting most sessions.
TEST(Placement, spreadsSessions)
{
  std::map<std::string, int> counts;
  for (int session = 0; session < 600; ++session) {
    ++counts[choose(prompt(session, 1)).upstream->entry.id];
  }
  CHECK_EQUAL(6U, counts.size());
  for (const auto& [id, count] : counts) {
    CHECK(count > 50);
  }
}

// Load pattern: clumps of requests of one session. Guards against a short queue sending the session to another
// upstream, which has to read its whole prompt again.
TEST(Placement, keepsASessionWhileItsQueueIsShort)
{
  const auto chosen = choose(prompt(1, 1)).upstream;
  chosen->prefillTokens = 8000;
  CHECK(choose(prompt(1, 2)).upstream == chosen);
}

// Load pattern: a hot session. Guards against it queueing at one upstream while others are idle.
TEST(Placement, leavesABusyUpstream)
{
  const auto chosen = choose(prompt(1, 1)).upstream;
  chosen->prefillTokens = 40000;
  CHECK(choose(prompt(1, 2)).upstream != chosen);
}

// Guards against gateways that all see the same idle upstream filling it together: others' calls count as well.
TEST(Placement, countsTheCallsOfOtherGateways)
{
  const auto chosen = choose(prompt(1, 1)).upstream;
  applyOthers(upstreams, { { chosen->entry.id, 10, 40000 } });
  CHECK(choose(prompt(1, 2)).upstream != chosen);
}

// Guards against calls to an upstream that cannot be reached, and against none being made when all are in doubt.
TEST(Placement, avoidsUnreachableUpstreams)
{
  const auto chosen = choose(prompt(1, 1)).upstream;
  noteUnreachable(*chosen, now);
  CHECK(choose(prompt(1, 1)).upstream != chosen);
  for (auto& [id, upstream] : upstreams.byId) {
    noteUnreachable(upstream, now);
  }
  CHECK(choose(prompt(1, 1)).upstream != nullptr);
  now += Duration{ 5000 };
  CHECK(choose(prompt(1, 1)).upstream == chosen);
}

// Guards against an upstream whose health is good but whose answers fail keeping its traffic for good or losing it
// for good.
TEST(Placement, leavesAFailingUpstreamForAWhile)
{
  const auto chosen = choose(prompt(1, 1)).upstream;
  for (int i = 0; i < 20; ++i) {
    noteAnswer(*chosen, true, now);
  }
  CHECK(choose(prompt(1, 1)).upstream != chosen);
  now += Duration{ 20000 };
  CHECK(choose(prompt(1, 1)).upstream == chosen);
}

// Guards against a slow upstream with a queue keeping its sessions.
TEST(Placement, leavesASlowUpstream)
{
  const auto chosen = choose(prompt(1, 1)).upstream;
  chosen->prefillTokens = 2000;
  CHECK(choose(prompt(1, 1)).upstream == chosen);
  for (int i = 0; i < 20; ++i) {
    noteTime(*chosen, Duration{ 800 }, Duration{ 50 }, true, now);
  }
  CHECK(choose(prompt(1, 1)).upstream != chosen);
}

// Guards against an upstream that an incomplete list left out being used, or forgotten while it still has calls.
TEST(Placement, dropsWhatTheListNoLongerNames)
{
  const auto chosen = choose(prompt(1, 1)).upstream;
  const auto id = chosen->entry.id;
  chosen->running = 1;
  std::vector<UpstreamEntry> list;
  for (const auto& [other, upstream] : upstreams.byId) {
    if (other != id) {
      list.push_back(upstream.entry);
    }
  }
  applyList(upstreams, list, now, now);
  CHECK(choose(prompt(1, 1)).upstream->entry.id != id);
  CHECK(upstreams.byId.contains(id));
  upstreams.byId.at(id).running = 0;
  forgetGone(upstreams);
  CHECK_FALSE(upstreams.byId.contains(id));
}

// Guards against an older list overwriting a newer one.
TEST(Placement, ignoresAnOlderList)
{
  applyList(upstreams, {}, now - Duration{ 100 }, now);
  CHECK(choose(prompt(1, 1)).upstream != nullptr);
}

TEST_GROUP(PromptCache)
{
  PromptCache cache;
};

// Guards against counting a part as cached although the part before it is gone, which the engine has to read again.
TEST(PromptCache, countsOnlyUnbrokenPrefixes)
{
  cache.use({ { "a", 100 }, { "b", 200 } }, 1000);
  CHECK_EQUAL(300, cache.cachedTokens({ { "a", 100 }, { "b", 200 }, { "c", 50 } }));
  CHECK_EQUAL(0, cache.cachedTokens({ { "x", 100 }, { "b", 200 } }));
}

// Guards against a belief that grows without bound.
TEST(PromptCache, forgetsTheLeastRecentlyUsed)
{
  cache.use({ { "a", 600 } }, 1000);
  cache.use({ { "b", 300 } }, 1000);
  cache.use({ { "a", 600 } }, 1000);
  cache.use({ { "c", 300 } }, 1000);
  CHECK_EQUAL(600, cache.cachedTokens({ { "a", 600 } }));
  CHECK_EQUAL(0, cache.cachedTokens({ { "b", 300 } }));
}

TEST_GROUP(RetryShare){};

// Guards against the sum of all gateways' retries passing the fleet's limit in some window.
TEST(RetryShare, staysWithinTheFleetsLimit)
{
  constexpr std::uint32_t kGateways = 7;
  constexpr Duration kWindow{ 10'000 };
  std::size_t taken = 0;
  std::size_t requests = 0;
  for (std::uint32_t gateway = 0; gateway < kGateways; ++gateway) {
    RetryShare share;
    for (int i = 0; i < 100; ++i) {
      const TimePoint now{ Duration{ 100 * i } };
      share.noteRequest(now);
      ++requests;
      taken += share.take(0.2, 60, kGateways, kWindow, now) ? 1 : 0;
    }
  }
  CHECK(taken > 0);
  CHECK(static_cast<double>(taken) <= 0.2 * static_cast<double>(requests) + 60);
}

TEST_GROUP(RouteIndex)
{
  RoutingTable table;

  void setup() override
  {
    Route wide;
    wide.name = "wide";
    wide.host = "shop.example";
    wide.pathPrefix = "/a/";
    wide.services = { { "one", 3 }, { "two", 1 } };
    auto narrow = wide;
    narrow.name = "narrow";
    narrow.pathPrefix = "/a/b/";
    table.routes = { wide, narrow };
  }
};

// Guards against a shorter prefix taking the requests of a longer one, and against prefixes that end within a name.
TEST(RouteIndex, choosesTheLongestPrefix)
{
  const auto index = makeRouteIndex(table);
  STRCMP_EQUAL("narrow", findRoute(*index, "shop.example", "/a/b/c?x=/a/")->name.c_str());
  STRCMP_EQUAL("wide", findRoute(*index, "shop.example", "/a/bc")->name.c_str());
  CHECK(findRoute(*index, "shop.example", "/ab/") == nullptr);
  CHECK(findRoute(*index, "other.example", "/a/") == nullptr);
}

// Guards against a split that sends requests to a service without weight.
TEST(RouteIndex, splitsByWeight)
{
  STRCMP_EQUAL("one", pickService(table.routes[0], 0.0).c_str());
  STRCMP_EQUAL("one", pickService(table.routes[0], 0.74).c_str());
  STRCMP_EQUAL("two", pickService(table.routes[0], 0.76).c_str());
  table.routes[0].services[1].weight = 0;
  STRCMP_EQUAL("one", pickService(table.routes[0], 0.99).c_str());
}
