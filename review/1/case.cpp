// A change of the configuration raises MaxHeaderBytes; then a client on a connection from before sends a long header.
#include "../lib/stand.h"

using namespace stand;

namespace {

constexpr int kCallers = 10;
constexpr int kHighLimit = 131072;
constexpr int kUsualLimit = 16384;

std::string
config(int aVersion, int aHeaderBytes)
{
  return "{\"Version\":" + std::to_string(aVersion) +
         ",\"Routes\":[{\"Name\":\"r-a\",\"Hostname\":\"a.example\",\"PathPrefix\":\"/a/"
         "\",\"Kind\":\"safe\",\"TimeoutMs\":"
         "3000,\"TargetLatencyMs\":300,\"Priority\":0,\"Service\":\"desk\",\"MaxAttempts\":2,\"Public\":true}],"
         "\"Services\":[{\"Name\":\"desk\",\"HealthPath\":\"/"
         "healthz\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}],"
         "\"Limits\":{\"MaxHeaderBytes\":" +
         std::to_string(aHeaderBytes) + ",\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
}

/// A sound server: runs each request for as long as its body says and answers it.
void
serve(int aSocket, Server& aServer, const std::string& aName, std::mutex& aMutex, std::set<std::string>& aRun)
{
  std::string buffer;
  Message call;
  while (!aServer.stopping && readMessage(aSocket, buffer, call, 60000) == Read::kWhole) {
    const auto id = call.field("x-request-id");
    {
      const std::scoped_lock lock(aMutex);
      aRun.insert(id);
    }
    record("server " + aName + " runs " + id);
    rest(std::atol(call.body.c_str()));
    const auto fields =
      "X-Request-Id: " + id + "\r\nX-Response-Signature: " + aName + "." + id + "\r\nKeep-Alive: timeout=20\r\n";
    if (!sendAll(aSocket, answerText(200, fields, "done " + id))) {
      return;
    }
  }
}

struct Caller
{
  int socket = -1;
  std::string buffer;
};

bool
sendRequest(Caller& aCaller, const std::string& aId, const std::string& aFields, int aWorkMs)
{
  const auto head = "Host: a.example\r\nX-Request-Id: " + aId + "\r\nX-Deadline-Ms: 3000\r\n" + aFields;
  const auto text = requestText("POST", "/a/" + aId, head, std::to_string(aWorkMs));
  record("client sends " + aId + " with " + std::to_string(head.size()) + " bytes of header");
  return sendAll(aCaller.socket, text);
}

/// @return the status; 0: the connection ended without an answer; -1: no answer in time
int
awaitAnswer(Caller& aCaller, const std::string& aId)
{
  Message answer;
  const auto read = readMessage(aCaller.socket, aCaller.buffer, answer, 4000);
  const int status = read == Read::kWhole ? answer.status() : read == Read::kClosed ? 0 : -1;
  record("client gets for " + aId + ": " +
         (status > 0    ? std::to_string(status)
          : status == 0 ? "its connection is closed without an answer"
                        : "nothing in 4 s"));
  return status;
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
  std::mutex mutex;
  std::set<std::string> run;
  Platform platform("127.77.0.1");
  std::vector<std::unique_ptr<Server>> servers;
  for (int each = 0; each < 3; ++each) {
    const auto name = "i-desk-" + std::to_string(each + 1);
    servers.push_back(std::make_unique<Server>(
      "127.77.0." + std::to_string(each + 2), 0, [&, name](int s, Server& me) { serve(s, me, name, mutex, run); }));
    platform.set(name, entryText(name, "desk", servers.back()->endpoint(), Fleet::zone(each), "ready", 6));
  }
  Fleet fleet(aWords[1], aWords[2], platform.endpoint());
  fleet.startAll();
  // Without the disruption, the first configuration has the high limit already.
  if (!putConfig(fleet, config(3, trouble ? kUsualLimit : kHighLimit), 15000) || !awaitReady(fleet, 15000)) {
    record("the deployment did not get ready");
    return 2;
  }
  rest(3000); // the machines are in touch
  std::vector<Caller> callers(kCallers + 1);
  auto& wide = callers.back();
  int first = 0;
  for (int each = 0; each <= kCallers; ++each) {
    callers[each].socket = connectTo(Fleet::ip(0), fleet.frontPort());
    const auto id = numbered("a", each);
    sendRequest(callers[each], id, "", 20);
    first += awaitAnswer(callers[each], id) == 200 ? 1 : 0;
  }
  if (first != kCallers + 1) {
    return 2;
  }
  if (trouble && !putConfig(fleet, config(9, kHighLimit), 5000)) {
    return 2;
  }
  rest(4000); // ConfigMs is 2 s
  for (int each = 0; each <= kCallers; ++each) {
    const auto id = numbered("b", each);
    sendRequest(callers[each], id, "", 20);
    awaitAnswer(callers[each], id);
  }
  std::vector<std::string> ids;
  for (int each = 0; each < kCallers; ++each) {
    ids.push_back(numbered("c", each));
    sendRequest(callers[each], ids.back(), "", 800);
    rest(10);
  }
  rest(200);
  // 15 fields of 8,000 bytes: 120 KB of the 128 KB that the configuration in force allows.
  std::string fields;
  for (int each = 0; each < 15; ++each) {
    fields += "X-Context-" + std::to_string(each) + ": " + std::string(8000, static_cast<char>('a' + each)) + "\r\n";
  }
  sendRequest(wide, "d0", fields, 20);
  int lost = 0;
  for (int each = 0; each < kCallers; ++each) {
    const int status = awaitAnswer(callers[each], ids[each]);
    const std::scoped_lock lock(mutex);
    lost += status == 0 && run.contains(ids[each]) ? 1 : 0;
  }
  const int long1 = awaitAnswer(wide, "d0");
  rest(300);
  const int status = fleet.ended(fleet.process(0, "router"));
  if (status != -1) {
    record("process router-1 has ended by itself, " + (WIFSIGNALED(status)
                                                         ? "signal " + std::to_string(WTERMSIG(status))
                                                         : "exit code " + std::to_string(WEXITSTATUS(status))));
  }
  record("LOST: " + std::to_string(lost) +
         " requests were passed on from kept connections to sound servers and their connections closed without an "
         "answer; the rule allows 3");
  const bool broken = lost > 3;
  record(broken ? "the rule is broken" : "the rule held");
  return broken ? 1 : long1 == 200 ? 0 : 2;
}
