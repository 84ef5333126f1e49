// Bytes and time of frames between processes.

#include "rhubarbarch/wire/codec.h"

#include <chrono>
#include <cstdio>
#include <string>

using namespace rhubarbarch;

namespace {

constexpr int kRounds = 2000;

void
measure(const char* aWhat, const Message& aMessage)
{
  const Envelope envelope{ { "entry-chicago", Role::kRouter }, { "agent-engine-12", Role::kAgent }, aMessage };
  const auto frame = encodeFrame(envelope);
  const auto started = std::chrono::steady_clock::now();
  for (int round = 0; round < kRounds; ++round) {
    static_cast<void>(encodeFrame(envelope));
  }
  const auto middle = std::chrono::steady_clock::now();
  for (int round = 0; round < kRounds; ++round) {
    static_cast<void>(decodeFrame(frame));
  }
  const std::chrono::duration<double, std::micro> encoding = middle - started;
  const std::chrono::duration<double, std::micro> decoding = std::chrono::steady_clock::now() - middle;
  std::printf("%-34s %7zu bytes %8.2f us encode %8.2f us decode\n",
              aWhat,
              frame.size(),
              encoding.count() / kRounds,
              decoding.count() / kRounds);
}

ConfigPoll
poll(std::size_t aPlans)
{
  ConfigPoll message;
  message.instance = "entry-chicago";
  for (std::size_t number = 0; number < aPlans; ++number) {
    message.demand.push_back({ "plan-" + std::to_string(number), 1200, 50'000, 8'000 });
  }
  return message;
}

ChargeBatch
batch(std::size_t aCharges)
{
  ChargeBatch message;
  for (std::size_t number = 0; number < aCharges; ++number) {
    message.charges.push_back({ "entry-chicago-0123456789abcdef-" + std::to_string(number), 412 });
  }
  return message;
}

ConfigState
directory(std::size_t aAgents)
{
  ConfigState message;
  message.hasDirectory = true;
  for (std::size_t number = 0; number < aAgents; ++number) {
    AgentEntry entry;
    entry.instance = "agent-engine-" + std::to_string(number);
    entry.dataCentre = "chicago";
    entry.endpoint = "192.0.2.20:7100";
    entry.upstream.name = "engine-" + std::to_string(number);
    message.agents.push_back(std::move(entry));
  }
  return message;
}

} // namespace

int
main()
{
  StreamChunk chunk;
  chunk.run = { "entry-chicago-0123456789abcdef-123456", 1 };
  chunk.data.data = std::string(64, 'x');
  measure("StreamChunk, 64 bytes", chunk);
  chunk.data.data = std::string(4096, 'x');
  measure("StreamChunk, 4 KiB", chunk);
  Dispatch dispatch;
  dispatch.run = chunk.run;
  dispatch.path = "/v1/chat/completions";
  dispatch.body.data = std::string(2048, 'x');
  measure("Dispatch, 2 KiB body", dispatch);
  RunDone done;
  done.run = chunk.run;
  measure("RunDone", done);
  AgentStatus status;
  status.loaded = { { "quill", "v1" }, { "quill", "v2" } };
  measure("AgentStatus", status);
  status.cachedPrefixes.assign(64, 0x0123456789abcdefULL);
  measure("AgentStatus, 64 prefixes", status);
  for (const std::size_t plans : { 0, 10, 100, 1000 }) {
    measure(("ConfigPoll, " + std::to_string(plans) + " plans").c_str(), poll(plans));
  }
  measure("ConfigState, nothing new", ConfigState{});
  for (const std::size_t agents : { 10, 100, 1000 }) {
    measure(("ConfigState, directory of " + std::to_string(agents)).c_str(), directory(agents));
  }
  for (const std::size_t charges : { 1, 16, 256 }) {
    measure(("ChargeBatch, " + std::to_string(charges)).c_str(), batch(charges));
  }
  measure("GrantRequest", GrantRequest{ SessionId{ 7 }, 12, "plan-1", 4000 });
  return 0;
}
