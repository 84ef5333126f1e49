// All processes are killed at the same moment and are back within a second. What the open requests had reserved stays
// unavailable, and the tenant, who has used a small part of its Prepaid, is hardly served any more.
#include "../lib/stand.h"

using namespace stand;

namespace {

constexpr long kPrompt = 200;
constexpr long kMostOutput = 16000;
constexpr int kEvents = 100; ///< of each answer, kEventTokens each, in 13 s
constexpr long kEventMs = 130;
constexpr long kEventTokens = 4;
constexpr long kPrepaid = 810000;
constexpr long kPeriodMs = 333; ///< between two requests
constexpr long kTrafficMs = 75000;
constexpr long kKillAtMs = 30000; ///< after the start of traffic
constexpr long kDownMs = 600;
constexpr long kContactWindowMs = 3000;
constexpr long kRecoverMs = 12000;
constexpr long kSettleMs = 1500;

/// One client attempt as its client and the server saw it.
struct Attempt
{
  std::string id;
  int machine = 0;
  long sentAt = 0;
  long endedAt = -1;
  int status = 0;
  long events = 0; ///< that the client got
  bool ran = false;
};

std::mutex gMutex;
std::map<std::string, Attempt> gAttempts;

std::string
config()
{
  return "{\"Version\":5,\"Routes\":[{\"Name\":\"r-c\",\"Hostname\":\"a.example\",\"PathPrefix\":\"/c/\",\"Kind\":"
         "\"streaming\",\"TimeoutMs\":15000,\"TargetLatencyMs\":600,\"Priority\":0,\"Service\":\"pool\","
         "\"MaxAttempts\":1,"
         "\"Public\":false,\"Sticky\":true,\"Resumable\":false,\"TargetGapMs\":600}],\"Services\":[{\"Name\":\"pool\","
         "\"HealthPath\":\"/healthz\",\"MaxConns\":370,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":64,"
         "\"KvTokens\":246049,\"KvTokenBytes\":163840,\"LinkMbps\":550000.0,\"Moves\":true,\"Backups\":true,\"Stride\":"
         "4,"
         "\"most\":12,\"PinMs\":4000.0,\"HoldMs\":2000.0,\"HandleS\":5.0,\"Models\":[{\"Name\":\"m\"}]}}],"
         "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":"
         "15000},"
         "\"Tenants\":[{\"Name\":\"t1\",\"ApiKeys\":[\"key1\"],\"Priority\":1,\"Prepaid\":" +
         std::to_string(kPrepaid) + "}]}";
}

void
serveEngine(int aSocket, Server& aServer, const std::string& aName)
{
  std::string buffer;
  Message call;
  while (!aServer.stopping && readMessage(aSocket, buffer, call, 60000) == Read::kWhole) {
    const auto id = call.field("x-request-id");
    {
      const std::scoped_lock lock(gMutex);
      gAttempts[id].ran = true;
    }
    record("server " + aName + " runs " + id);
    rest(100);
    const auto head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + id +
                      "\r\nX-Response-Signature: " + aName + "." + id + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    if (!sendAll(aSocket, head)) {
      return;
    }
    for (int event = 1; event <= kEvents; ++event) {
      const auto text = "id: " + std::to_string(event) + "\ndata: words\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
      if (aServer.stopping || !sendAll(aSocket, size + text + "\r\n")) {
        return;
      }
      rest(kEventMs);
    }
    if (!sendAll(aSocket, "0\r\n\r\n")) {
      return;
    }
  }
}

/// A client attempt on a connection of its own.
void
attempt(const Fleet& aFleet, const std::string& aId, int aMachine)
{
  const int socket = connectTo(Fleet::ip(aMachine), aFleet.frontPort());
  if (socket < 0) {
    const std::scoped_lock lock(gMutex);
    gAttempts.erase(aId);
    record("client has no connection for " + aId);
    return;
  }
  record("client sends " + aId + " to router-" + std::to_string(aMachine + 1));
  const auto usage = std::to_string(kPrompt) + "," + std::to_string(kMostOutput);
  const auto fields = "Host: a.example\r\nX-Request-Id: " + aId +
                      "\r\nX-Model: m\r\nX-Key: key1\r\nX-Deadline-Ms: 15000\r\n" + "X-Token-Usage: " + usage +
                      "\r\nX-Prompt-Prefix: " + aId + ":" + std::to_string(kPrompt) + "\r\n";
  sendAll(socket, requestText("POST", "/c/1", fields, "prompt"));
  std::string bytes;
  const auto until = ms() + 15500;
  while (ms() < until && receiveSome(socket, bytes, until - ms()) == 1 &&
         bytes.find("\r\n0\r\n\r\n") == std::string::npos &&
         !(bytes.find("\r\n\r\n") != std::string::npos && bytes.find("HTTP/1.1 200") != 0)) {
  }
  ::close(socket);
  const std::scoped_lock lock(gMutex);
  auto& mine = gAttempts[aId];
  mine.endedAt = ms();
  mine.status = bytes.size() > 12 ? std::atoi(bytes.c_str() + 9) : 0;
  for (auto at = bytes.find("data:"); at != std::string::npos; at = bytes.find("data:", at + 1)) {
    ++mine.events;
  }
  record("client gets for " + aId + ": " + std::to_string(mine.status) + ", " + std::to_string(mine.events) +
         " events");
}

/// What the tenant may have consumed of its Prepaid when an attempt was sent: the others at their most while they had
/// not ended settle_ms before, afterwards their prompt if it ran and the output that was delivered.
long
consumedBefore(const Attempt& aOne)
{
  long sum = 0;
  for (const auto& [id, each] : gAttempts) {
    if (each.sentAt >= aOne.sentAt) {
      continue;
    }
    if (each.status == 402 && !each.ran) {
      continue;
    }
    const bool open = each.endedAt < 0 || each.endedAt + kSettleMs > aOne.sentAt;
    sum += open ? kPrompt + kMostOutput : (each.ran ? kPrompt : 0) + each.events * kEventTokens;
  }
  return sum;
}

} // namespace

int
main(int aCount, char** aWords)
{
  if (aCount != 4) {
    return 2;
  }
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string(setting) != "0";
  gRecord = std::make_unique<Record>(aWords[3]);
  Platform platform("127.77.0.1");
  std::vector<std::unique_ptr<Server>> servers;
  for (int each = 0; each < 3; ++each) {
    const auto name = "i-pool-" + std::to_string(each + 1);
    servers.push_back(std::make_unique<Server>(
      "127.77.0." + std::to_string(each + 2), 0, [name](int s, Server& me) { serveEngine(s, me, name); }));
    platform.set(name, entryText(name, "pool", servers.back()->endpoint(), Fleet::zone(each), "ready", 64));
  }
  Fleet fleet(aWords[1], aWords[2], platform.endpoint());
  fleet.startAll();
  if (!putConfig(fleet, config(), 15000) || !awaitReady(fleet, 15000)) {
    record("the deployment did not get ready");
    return 2;
  }
  rest(kContactWindowMs);
  const long begin = ms();
  long backAt = 0;
  bool killed = false;
  std::vector<std::thread> clients;
  for (long number = 0; ms() < begin + kTrafficMs; ++number) {
    if (!killed && ms() >= begin + kKillAtMs) {
      killed = true;
      if (trouble) {
        for (int machine = 0; machine < 3; ++machine) {
          fleet.kill(fleet.process(machine, "router"), SIGKILL);
          fleet.kill(fleet.process(machine, "controller"), SIGKILL);
        }
        record("all processes killed");
        rest(kDownMs);
        fleet.startAll();
      }
      backAt = ms();
    }
    const int machine = static_cast<int>(number % 3);
    const auto id = numbered("q", number);
    {
      const std::scoped_lock lock(gMutex);
      auto& mine = gAttempts[id];
      mine.id = id;
      mine.machine = machine;
      mine.sentAt = ms();
    }
    clients.emplace_back([&fleet, id, machine] { attempt(fleet, id, machine); });
    rest(std::max(0L, begin + (number + 1) * kPeriodMs - ms()));
  }
  for (auto& each : clients) {
    each.join();
  }
  int denied = 0;
  int before = 0;
  int beforeServed = 0;
  int after = 0;
  int afterServed = 0;
  long consumed = 0;
  for (const auto& [id, each] : gAttempts) {
    const bool served = each.status == 200 && each.events == kEvents;
    consumed += (each.ran ? kPrompt : 0) + each.events * kEventTokens;
    // Before: what ended before the fault.
    if (each.endedAt > 0 && each.endedAt < begin + kKillAtMs) {
      ++before;
      beforeServed += served ? 1 : 0;
    }
    if (each.sentAt <= backAt + kRecoverMs) {
      continue;
    }
    const auto most = consumedBefore(each);
    const bool fits = most + kPrompt + kMostOutput <= kPrepaid * 97 / 100;
    if (!fits) {
      continue; // not owed
    }
    ++after;
    afterServed += served ? 1 : 0;
    if (each.status == 402) {
      ++denied;
      record("402 for " + id + ": consumed at most " + std::to_string(most) + " of " + std::to_string(kPrepaid));
    }
  }
  record("consumed in all " + std::to_string(consumed) + " of a Prepaid of " + std::to_string(kPrepaid));
  record("before the fault: " + std::to_string(before) + " requests that fit, " + std::to_string(beforeServed) +
         " served");
  record("later than RecoverS after the processes are back: " + std::to_string(after) + " requests that fit, " +
         std::to_string(afterServed) + " served, " + std::to_string(denied) + " answered 402");
  const bool broken = after > 0 && 4 * afterServed < after && 4 * beforeServed >= before;
  record(broken ? "RECOVER: the rule is broken" : "RECOVER: the rule held");
  return broken ? 1 : afterServed > 0 ? 0 : 2;
}
