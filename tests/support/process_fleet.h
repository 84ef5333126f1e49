#pragma once

#include "http_caller.h"
#include "tcp_relay.h"

#include <openssl/evp.h>

#include <map>
#include <memory>
#include <sstream>

namespace rhubarbarch::testing {

inline constexpr std::string_view kHexDigits = "0123456789abcdef";

/// SHA-256 in lower-case hex, as the plans list wants it.
inline std::string
keyHash(const std::string& aKey)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(aKey.data(), aKey.size(), digest.data(), &size, EVP_sha256(), nullptr);
  std::string text;
  std::for_each_n(digest.begin(), size, [&](unsigned char aByte) {
    text += kHexDigits[aByte / 16];
    text += kHexDigits[aByte % 16];
  });
  return text;
}

/// A fleet of real processes on loopback: entry-1 to entry-3 (router and controller), engine-1, engine-2 and the
/// service `orders` as fakes, and one agent beside each of them. Everything ends with the object.
///
/// Usage: `ProcessFleet fleet("drain"); if (!fleet.start()) { fail(fleet.problem()); }`.
class ProcessFleet
{
public:
  static constexpr int kEntries = 3;
  static constexpr const char* kRichKey = "rich-key";
  static constexpr const char* kSmallKey = "small-key";
  static constexpr std::int64_t kRichBudget = 1'000'000;
  static constexpr std::int64_t kSmallBudget = 3'000;

  /// @param aRelayed all connections that other processes open to entry-1, and that entry-1 opens, go through relays
  explicit ProcessFleet(const std::string& aName, bool aRelayed = false)
    : mFolder(programFolder() / "process-tests" / (aName + "-" + std::to_string(::getpid())))
  {
    std::filesystem::remove_all(mFolder);
    std::filesystem::create_directories(mFolder);
    auto ports = freePorts(kPorts);
    for (auto* group : { &mPeerPorts, &mCallerPorts, &mOperatorPorts }) {
      for (int entry = 1; entry <= kEntries; ++entry) {
        (*group)[entryName(entry)] = takePort(ports);
      }
    }
    for (const auto& upstream : upstreams()) {
      mFakePorts[upstream] = takePort(ports);
      mPeerPorts["agent-" + upstream] = takePort(ports);
      mOperatorPorts["agent-" + upstream] = takePort(ports);
    }
    for (int entry = 1; aRelayed && entry <= kEntries; ++entry) {
      mRelays[entryName(entry)] = std::make_unique<TcpRelay>(mPeerPorts.at(entryName(entry)));
    }
  }

  ~ProcessFleet()
  {
    mProcesses.clear();
    std::error_code ignored;
    std::filesystem::remove_all(mFolder, ignored);
  }
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;
  ProcessFleet(ProcessFleet&&) = delete;
  ProcessFleet& operator=(ProcessFleet&&) = delete;

  static std::string entryName(int aEntry) { return "entry-" + std::to_string(aEntry); }
  static std::vector<std::string> upstreams() { return { "engine-1", "engine-2", "orders" }; }

  /// Starts everything and waits until each router has answered a model call and an order.
  bool start()
  {
    for (const auto& upstream : upstreams()) {
      startFake(upstream);
    }
    for (int entry = 1; entry <= kEntries; ++entry) {
      startDaemon(entryName(entry), entrySettings(entry));
    }
    if (!waitUntil([&] { return operate("/v1/lists").status == 200; })) {
      return fails("no controller leads");
    }
    if (!applyWithTool("plans", plansDocument()) || !applyWithTool("uses", usesDocument(kRichBudget))) {
      return fails("rhubarbarchctl did not apply the lists");
    }
    // Agents come last, so that their connections to the entries are open before a router learns their endpoints.
    for (const auto& upstream : upstreams()) {
      startDaemon("agent-" + upstream, agentSettings(upstream));
    }
    return serving();
  }

  /// Waits until the lists are in force everywhere and each router has answered a model call and an order.
  bool serving()
  {
    if (!waitUntil([&] { return inForceEverywhere(); })) {
      return fails("the lists are not in force everywhere");
    }
    for (int entry = 1; entry <= kEntries; ++entry) {
      const auto number = std::to_string(++mWarmUps);
      const HttpCall order{ "POST", "/orders/new", kRichKey, "warm-up-" + number, R"({"warm_up":)" + number + "}" };
      if (!waitUntil([&] { return ask(entry, chat(kRichKey, 2)).status == 200; }) ||
          !waitUntil([&] { return ask(entry, order).status == 200; })) {
        return fails("router " + std::to_string(entry) + " does not answer");
      }
    }
    return true;
  }

  /// What start() or serving() waited for in vain, with the logs.
  const std::string& problem() const noexcept { return mProblem; }

  ChildProcess& process(const std::string& aName) { return *mProcesses.at(aName); }
  ChildProcess& entry(int aEntry) { return process(entryName(aEntry)); }
  TcpRelay& relay(int aEntry) { return *mRelays.at(entryName(aEntry)); }
  std::filesystem::path dataFolder(int aEntry) const { return mFolder / ("data-" + std::to_string(aEntry)); }

  void killAll()
  {
    std::ranges::for_each(mProcesses, [](auto& aItem) { aItem.second->end(SIGKILL); });
  }

  void restartAll()
  {
    std::ranges::for_each(mProcesses, [](auto& aItem) { aItem.second->start(); });
  }

  std::string logTails() const
  {
    std::string text;
    for (const auto& [name, process] : mProcesses) {
      if (!name.starts_with("engine") && name != "orders") {
        text += process->logTail();
      }
    }
    return text;
  }

  // Callers

  /// A streamed model call that generates exactly aTokens.
  static HttpCall chat(const std::string& aKey, int aTokens, const std::string& aIdempotencyKey = {})
  {
    const nlohmann::json body = {
      { "model", "quill" }, { "stream", true }, { "max_tokens", aTokens }, { "fake_tokens", aTokens }
    };
    return { "POST", "/v1/chat/completions", aKey, aIdempotencyKey, body.dump() };
  }

  std::uint16_t callerPort(int aEntry) const { return mCallerPorts.at(entryName(aEntry)); }
  HttpAnswer ask(int aEntry, const HttpCall& aCall) const { return callHttp(callerPort(aEntry), aCall); }

  // Fakes

  /// `POST /fake`, with JSON text of the behaviour to change; empty: only reads.
  nlohmann::json fake(const std::string& aName, const std::string& aBehaviour = {}) const
  {
    const auto* method = aBehaviour.empty() ? "GET" : "POST";
    return callHttp(mFakePorts.at(aName), { method, "/fake", {}, {}, aBehaviour }).json();
  }

  /// Times that model calls have been started at both engines, by request id.
  std::map<std::string, int> engineRuns() const
  {
    std::map<std::string, int> runs;
    for (const auto* engine : { "engine-1", "engine-2" }) {
      const auto report = fake(engine);
      for (const auto& [request, count] : report.at("runs").items()) {
        runs[request] += count.get<int>();
      }
    }
    return runs;
  }

  // Operators

  /// Asks all controllers that run, in turn, until one that leads answers; another status than 503 ends the search.
  HttpAnswer operate(const std::string& aPath, const std::string& aBody = {}) const
  {
    HttpAnswer answer;
    for (int number = 1; number <= kEntries; ++number) {
      const auto found = mProcesses.find(entryName(number));
      if (found == mProcesses.end() || !found->second->running() || mPaused == number) {
        continue;
      }
      const auto* method = aBody.empty() ? "GET" : "POST";
      answer = callHttp(mOperatorPorts.at(entryName(number)), { method, aPath, kOperatorToken, {}, aBody });
      if (answer.status != 0 && answer.status != 503) {
        return answer;
      }
    }
    return answer;
  }

  /// Asks one controller, whether it leads or not.
  HttpAnswer operateAt(int aEntry, const std::string& aPath, const std::string& aBody = {}) const
  {
    const auto* method = aBody.empty() ? "GET" : "POST";
    return callHttp(mOperatorPorts.at(entryName(aEntry)), { method, aPath, kOperatorToken, {}, aBody });
  }

  /// Body of a change of the uses list to another budget for the plan `rich`.
  static std::string budgetChange(std::uint64_t aExpected, std::int64_t aBudget)
  {
    const nlohmann::json body = { { "request_id", "change-" + std::to_string(aBudget) },
                                  { "expected_revision", aExpected },
                                  { "document", usesDocument(aBudget) } };
    return body.dump();
  }

  /// Applies the uses list with another budget for the plan `rich`.
  /// @return the accepted revision; 0 when the change was refused or not answered
  std::uint64_t applyBudget(std::uint64_t aExpected, std::int64_t aBudget)
  {
    HttpAnswer answer;
    const auto text = budgetChange(aExpected, aBudget);
    waitUntil([&] {
      answer = operate("/v1/lists/uses", text);
      return answer.status != 0 && answer.status != 503 && answer.status != 504;
    });
    mProblem = "status " + std::to_string(answer.status) + (answer.whole ? ", whole: " : ", cut off: ") + answer.body;
    return answer.status == 200 ? answer.json().value("revision", std::uint64_t{ 0 }) : 0;
  }

  /// The lists in force; null when no controller leads within the limit.
  nlohmann::json lists() const
  {
    HttpAnswer answer;
    const bool known = waitUntil([&] {
      answer = operate("/v1/lists");
      return answer.status == 200 && answer.whole;
    });
    return known ? answer.json() : nlohmann::json();
  }

  static std::int64_t budgetIn(const nlohmann::json& aLists, const std::string& aPlan)
  {
    for (const auto& use : aLists.value("uses", nlohmann::json::array())) {
      if (use.value("plan", "") == aPlan) {
        return use.value("budget_tokens", std::int64_t{ -1 });
      }
    }
    return -1;
  }

  nlohmann::json plan(const std::string& aPlan) const
  {
    HttpAnswer answer;
    waitUntil([&] {
      answer = operate("/v1/plans/" + aPlan);
      return answer.status == 200 && answer.whole;
    });
    return answer.json();
  }

  bool ready(const std::string& aName) const
  {
    return callHttp(mOperatorPorts.at(aName), { "GET", "/readyz", {}, {}, {} }).status == 200;
  }

  /// A figure without labels from /metrics; -1 when it is missing.
  double metric(int aEntry, const std::string& aName) const
  {
    const auto page = callHttp(mOperatorPorts.at(entryName(aEntry)), { "GET", "/metrics", {}, {}, {} }).body;
    const auto at = page.find("\n" + aName + " ");
    return at == std::string::npos ? -1 : std::strtod(page.c_str() + at + aName.size() + 2, nullptr);
  }

  /// All six processes are known to the leader, ready, and hold the lists in force.
  bool inForceEverywhere() const
  {
    const auto everyReady = std::ranges::all_of(mOperatorPorts, [&](const auto& aItem) { return ready(aItem.first); });
    const auto view = everyReady ? operate("/v1/instances").json() : nlohmann::json::object();
    return view.value("in_force_everywhere", false) && view.at("instances").size() >= 6;
  }

  /// Stops a process with SIGSTOP; operate() no longer asks it.
  void pause(int aEntry)
  {
    mPaused = aEntry;
    entry(aEntry).signal(SIGSTOP);
  }

  void resume()
  {
    entry(mPaused).signal(SIGCONT);
    mPaused = 0;
  }

private:
  static constexpr std::size_t kPorts = 18;
  static constexpr const char* kOperatorToken = "operator-token-of-the-tests";
  static constexpr const char* kPeerKey = "shared-key-of-the-process-tests";

  static std::uint16_t takePort(std::vector<std::uint16_t>& aPorts)
  {
    const auto port = aPorts.back();
    aPorts.pop_back();
    return port;
  }

  static std::string endpoint(std::uint16_t aPort) { return "\"127.0.0.1:" + std::to_string(aPort) + "\""; }

  bool fails(const std::string& aWhat)
  {
    mProblem = aWhat + "\n" + logTails();
    return false;
  }

  void startProcess(const std::string& aName, std::vector<std::string> aArguments)
  {
    mProcesses[aName] = std::make_unique<ChildProcess>(std::move(aArguments), mFolder / (aName + ".log"));
  }

  void startFake(const std::string& aName)
  {
    std::vector<std::string> arguments{ programFolder() / "rhubarbarch-fake",
                                        "--listen=127.0.0.1:" + std::to_string(mFakePorts.at(aName)) };
    if (aName != "orders") {
      arguments.emplace_back("--loaded=quill:v1");
    }
    startProcess(aName, std::move(arguments));
  }

  void startDaemon(const std::string& aName, const std::string& aSettings)
  {
    const auto file = writeFile(aName + ".yaml", aSettings);
    startProcess(aName, { programFolder() / "rhubarbarchd", "--settings=" + file });
  }

  std::string writeFile(const std::string& aName, const std::string& aText) const
  {
    std::ofstream(mFolder / aName) << aText;
    return mFolder / aName;
  }

  // With relays, entry-1 reaches the other entries through theirs, and everyone reaches entry-1 through its relay.
  std::string controllersYaml(const std::string& aInstance) const
  {
    std::string text = "controllers:\n";
    for (int number = 1; number <= kEntries; ++number) {
      const auto name = entryName(number);
      const bool relayed = !mRelays.empty() && (aInstance == entryName(1)) != (number == 1);
      text += "  - { instance: " + name +
              ", endpoint: " + endpoint(relayed ? mRelays.at(name)->port() : mPeerPorts.at(name)) + " }\n";
    }
    return text;
  }

  std::string commonSettings(const std::string& aName) const
  {
    return "instance: " + aName + "\ndata_centre: dc-1\npeer: { listen: " + endpoint(mPeerPorts.at(aName)) +
           ", shared_key: " + kPeerKey + " }\n" + controllersYaml(aName);
  }

  std::string entrySettings(int aEntry) const
  {
    const auto name = entryName(aEntry);
    return commonSettings(name) + "roles: [router, controller]\ndata_folder: " + dataFolder(aEntry).string() +
           "\ncontroller: { bootstrap: true }\ncaller: { listen: " + endpoint(mCallerPorts.at(name)) +
           " }\noperator: { listen: " + endpoint(mOperatorPorts.at(name)) + ", token: " + kOperatorToken + " }\n";
  }

  std::string agentSettings(const std::string& aUpstream) const
  {
    const auto name = "agent-" + aUpstream;
    const std::string service = aUpstream == "orders" ? "orders" : "";
    return commonSettings(name) + "roles: [agent]\noperator: { listen: " + endpoint(mOperatorPorts.at(name)) +
           " }\nupstream: { endpoint: " + endpoint(mFakePorts.at(aUpstream)) + ", name: " + aUpstream +
           ", service: \"" + service + "\", checks_fence: true }\n";
  }

  static std::string plansDocument()
  {
    return std::string("plans:\n  - { plan: rich, workspace: bayfoam, key_hashes: [") + keyHash(kRichKey) +
           "] }\n  - { plan: small, workspace: bayfoam, key_hashes: [" + keyHash(kSmallKey) + "] }\n";
  }

  static std::string usesDocument(std::int64_t aRichBudget)
  {
    return "routes:\n  - { path: /v1/chat/completions }\n"
           "  - { path: /orders/, service: orders, idempotent: false, flat_tokens: 5 }\n"
           "uses:\n  - { plan: rich, services: [orders], models: [{ model: quill }], budget_tokens: " +
           std::to_string(aRichBudget) +
           " }\n  - { plan: small, models: [{ model: quill }], budget_tokens: " + std::to_string(kSmallBudget) + " }\n";
  }

  bool applyWithTool(const std::string& aList, const std::string& aDocument)
  {
    std::string servers;
    for (int entry = 1; entry <= kEntries; ++entry) {
      servers += (entry == 1 ? "127.0.0.1:" : ",127.0.0.1:") + std::to_string(mOperatorPorts.at(entryName(entry)));
    }
    const auto token = writeFile("token", kOperatorToken);
    const auto file = writeFile(aList + ".yaml", aDocument);
    ChildProcess tool(
      { programFolder() / "rhubarbarchctl", "--server=" + servers, "--token_file=" + token, "apply", aList, file },
      mFolder / "rhubarbarchctl.log");
    const bool applied = tool.exitCode() == 0;
    if (!applied) {
      mProblem = tool.logTail();
    }
    return applied;
  }

  std::filesystem::path mFolder;
  std::string mProblem;
  int mPaused = 0;
  int mWarmUps = 0;
  std::map<std::string, std::uint16_t> mPeerPorts;
  std::map<std::string, std::uint16_t> mCallerPorts;
  std::map<std::string, std::uint16_t> mOperatorPorts;
  std::map<std::string, std::uint16_t> mFakePorts;
  std::map<std::string, std::unique_ptr<TcpRelay>> mRelays;
  std::map<std::string, std::unique_ptr<ChildProcess>> mProcesses;
};

} // namespace rhubarbarch::testing
