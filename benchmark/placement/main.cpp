// Time of a placement at a number of engines, by the learned model and by the former constants.

#include "former_placement.h"

#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

using namespace rhubarbarch;
using namespace rhubarbarch::gateway;

namespace {

constexpr int kRounds = 1000;

template<typename Function>
double
measure(std::size_t aEngines, Function aPlace)
{
  const Service service{ "engine", "", 100, true, { 64, 600'000, 3 } };
  TimePoint now{ Duration{ 5000 } };
  std::vector<UpstreamEntry> list;
  list.reserve(aEngines);
  for (std::size_t i = 0; i < aEngines; ++i) {
    list.push_back({ "i-" + std::to_string(100'000 + i), "engine", "10.0.0.1:80", "a", "v1", 64, 0, false });
  }
  Upstreams upstreams;
  applyList(upstreams, list, now, now);
  std::mt19937_64 random(3);
  const auto started = std::chrono::steady_clock::now();
  for (int round = 0; round < kRounds; ++round) {
    const std::vector<PromptPart> prompt = { { "s" + std::to_string(round % 300), 6300 },
                                             { "q" + std::to_string(round), 2890 } };
    PlacementRequest request;
    request.service = &service;
    request.prompt = &prompt;
    request.promptTokens = 9190;
    request.target = Duration{ 400 };
    request.random = &random;
    now += Duration{ 1 };
    const auto placed = aPlace(upstreams, request, now);
    placed.upstream->prefillTokens = placed.uncachedTokens;
  }
  const std::chrono::duration<double, std::micro> taken = std::chrono::steady_clock::now() - started;
  return taken.count() / kRounds;
}

} // namespace

int
main()
{
  for (const std::size_t engines : { 56U, 300U, 4700U }) {
    const auto former = measure(engines, former::place);
    const auto learned = measure(engines, gateway::place);
    std::printf("%5zu engines: former %8.1f us, learned %8.1f us\n", engines, former, learned);
  }
  return 0;
}
