#include "process_fleet.h"

#include <initializer_list>
#include <source_location>

#include <CppUTest/TestHarness.h>

namespace {

using rhubarbarch::testing::callHttp;
using rhubarbarch::testing::HttpAnswer;
using rhubarbarch::testing::HttpCall;
using rhubarbarch::testing::HttpCaller;
using rhubarbarch::testing::ProcessFleet;
using rhubarbarch::testing::waitUntil;

/// Ends the test with a message and the logs of all daemons when the condition does not hold.
void
require(const ProcessFleet& aFleet,
        bool aCondition,
        const std::string& aWhat,
        std::source_location aWhere = std::source_location::current())
{
  if (!aCondition) {
    const auto text = aWhat + "\n" + aFleet.logTails();
    UtestShell::getCurrent()->fail(text.c_str(), aWhere.file_name(), aWhere.line());
  }
}

std::string
describe(const HttpAnswer& aAnswer)
{
  constexpr std::size_t kShown = 300;
  return "status " + std::to_string(aAnswer.status) + (aAnswer.whole ? ", whole: " : ", cut off: ") +
         aAnswer.body.substr(0, kShown);
}

/// Whether a streamed answer holds exactly the tokens t0, t1, ... in order, and its end.
bool
isWholeStream(const HttpAnswer& aAnswer, int aTokens)
{
  std::string text;
  bool end = false;
  std::istringstream lines(aAnswer.body);
  for (std::string line; std::getline(lines, line);) {
    end = end || line == "data: [DONE]";
    const auto event = line.starts_with("data: {") ? nlohmann::json::parse(line.substr(6)) : nlohmann::json();
    if (event.contains("choices")) {
      text += event["choices"][0]["delta"]["content"].get<std::string>();
    }
  }
  std::string expected;
  for (int token = 0; token < aTokens; ++token) {
    expected += "t" + std::to_string(token) + " ";
  }
  return aAnswer.status == 200 && aAnswer.whole && end && text == expected;
}

/// Tokens that an engine counted for a streamed answer.
std::int64_t
usageOf(const HttpAnswer& aAnswer)
{
  const auto at = aAnswer.body.find(R"({"usage":)");
  if (at == std::string::npos) {
    return 0;
  }
  const auto line = aAnswer.body.substr(at, aAnswer.body.find('\n', at) - at);
  const auto usage = nlohmann::json::parse(line).at("usage");
  return usage.at("prompt_tokens").get<std::int64_t>() + usage.at("completion_tokens").get<std::int64_t>();
}

/// Asks until an answer comes with status 200, as a caller that follows Retry-After would.
HttpAnswer
askUntilAnswered(const ProcessFleet& aFleet, int aEntry, const HttpCall& aCall)
{
  HttpAnswer answer;
  waitUntil([&] {
    answer = aFleet.ask(aEntry, aCall);
    return answer.status == 200;
  });
  return answer;
}

/// A request must be answered, or refused with a proof of whether it ran that the engines confirm.
void
requireProof(const ProcessFleet& aFleet, const HttpAnswer& aAnswer)
{
  if (aAnswer.status == 200) {
    return;
  }
  const auto refusal = aAnswer.json();
  const auto ran = refusal.value("ran", "");
  require(aFleet, ran == "no" || ran == "yes", "refused without a proof: " + describe(aAnswer));
  const auto known = aFleet.engineRuns().contains(refusal.value("request_id", ""));
  require(aFleet, known == (ran == "yes"), "the engines say otherwise: " + describe(aAnswer));
}

void
slowEngines(const ProcessFleet& aFleet)
{
  // With 150 tokens, a stream stays open for about three seconds.
  aFleet.fake("engine-1", R"({"tokenDelayMs":20})");
  aFleet.fake("engine-2", R"({"tokenDelayMs":20})");
}

constexpr int kLongStream = 150;

} // namespace

TEST_GROUP(Process)
{
  std::unique_ptr<ProcessFleet> fleet;

  void start(const std::string& aName, bool aRelayed = false)
  {
    fleet = std::make_unique<ProcessFleet>(aName, aRelayed);
    if (!fleet->start()) {
      FAIL(fleet->problem().c_str());
    }
  }

  void teardown() override
  {
    fleet.reset();
  }
};

// Guards against a second run, and a second bill, when a router dies with a stream open and the caller retries.
TEST(Process, RetryAfterRouterDeathAttachesToTheSameRun)
{
  start("router-death");
  slowEngines(*fleet);
  const auto before = fleet->engineRuns();
  const auto call = ProcessFleet::chat(ProcessFleet::kRichKey, kLongStream, "stream-1");
  HttpCaller first(fleet->callerPort(1), call);
  require(*fleet, first.readUntil("content"), "router 1 did not begin the stream");
  fleet->entry(1).end(SIGKILL);
  require(*fleet, !first.finish().whole, "the stream ended before its router was killed");

  const auto answer = askUntilAnswered(*fleet, 2, call);
  require(*fleet, isWholeStream(answer, kLongStream), "the retry did not get the whole answer: " + describe(answer));
  const auto after = fleet->engineRuns();
  LONGS_EQUAL(before.size() + 1, after.size());
  for (const auto& [request, count] : after) {
    LONGS_EQUAL_TEXT(1, count, request.c_str());
  }
}

// Guards against a duplicate order when the router that took it dies while it runs.
TEST(Process, OrderRunsOnceThoughItsRouterDies)
{
  start("order");
  fleet->fake("orders", R"({"slowMs":2000,"failRate":0})");
  const std::string body = R"({"item":"wand kits","pallets":1})";
  const HttpCall order{ "POST", "/orders/new", ProcessFleet::kRichKey, "order-1", body };
  HttpCaller first(fleet->callerPort(1), order);
  const auto began = [&] { return fleet->fake("orders").value("faulty_requests", 0) == 1; };
  require(*fleet, waitUntil(began), "the order did not reach the service");
  fleet->entry(1).end(SIGKILL);
  require(*fleet, first.finish().status == 0, "the order was answered before its router was killed");

  const auto answer = askUntilAnswered(*fleet, 2, order);
  require(*fleet, answer.status == 200, "the retry got no answer: " + describe(answer));
  const auto report = fleet->fake("orders");
  LONGS_EQUAL(1, report.at("bodies").value(body, 0));
  LONGS_EQUAL(1, report.value("faulty_requests", 0));
}

// Guards against overspend by a router that is paused, loses its grants, and goes on with what it remembers.
TEST(Process, PausedRouterDoesNotSpendReclaimedTokens)
{
  start("paused");
  const auto call = ProcessFleet::chat(ProcessFleet::kSmallKey, 100);
  std::int64_t spent = 0;
  for (const int entry : { 1, 2 }) {
    const auto answer = askUntilAnswered(*fleet, entry, call);
    require(*fleet, isWholeStream(answer, 100), "no answer before the pause: " + describe(answer));
    spent += usageOf(answer);
  }
  fleet->pause(1);
  // The router's session ends long after the heartbeat limit, and its tokens return to the others.
  const auto lost = [&] {
    const auto view = fleet->operate("/v1/instances").json();
    return view.contains("instances") && std::ranges::none_of(view["instances"], [](const auto& aItem) {
             return aItem.value("instance", "") == "entry-1" && !aItem.value("fenced", false);
           });
  };
  require(*fleet, waitUntil(lost), "the paused router's session did not end");
  HttpAnswer answer;
  const auto exhausted = [&] {
    answer = fleet->ask(2, call);
    spent += answer.status == 200 ? usageOf(answer) : 0;
    return answer.status == 402;
  };
  require(*fleet, waitUntil(exhausted), "the budget was not used up through router 2: " + describe(answer));

  // Together they cost more than the rest that one refusal at router 2 may have left.
  constexpr std::size_t kWaiting = 5;
  std::vector<std::unique_ptr<HttpCaller>> waiting(kWaiting);
  for (auto& caller : waiting) {
    caller = std::make_unique<HttpCaller>(fleet->callerPort(1), call);
  }
  fleet->resume();
  for (const auto& caller : waiting) {
    answer = caller->finish();
    spent += answer.status == 200 ? usageOf(answer) : 0;
    requireProof(*fleet, answer);
  }
  const auto plan = fleet->plan("small");
  const auto booked = plan.value("settled", std::int64_t{ 0 }) + plan.value("charged_open", std::int64_t{ 0 }) +
                      plan.value("in_doubt", std::int64_t{ 0 });
  CHECK_TEXT(booked <= ProcessFleet::kSmallBudget, plan.dump().c_str());
  CHECK_TEXT(spent <= ProcessFleet::kSmallBudget, std::to_string(spent).c_str());
}

// Guards against the loss of accepted changes when every process is killed at once.
TEST(Process, ListsSurviveTheDeathOfAllProcesses)
{
  start("all-killed");
  constexpr int kChanges = 50;
  auto revision = fleet->lists().value("uses_revision", std::uint64_t{ 0 });
  std::int64_t budget = ProcessFleet::kRichBudget;
  for (int change = 0; change < kChanges; ++change) {
    revision = fleet->applyBudget(revision, ++budget);
    require(*fleet, revision != 0, "change " + std::to_string(change) + " was not accepted: " + fleet->problem());
  }
  fleet->killAll();
  fleet->restartAll();
  const auto lists = fleet->lists();
  require(*fleet, lists.is_object(), "no controller leads after the restart");
  LONGS_EQUAL(revision, lists.value("uses_revision", std::uint64_t{ 0 }));
  LONGS_EQUAL(budget, ProcessFleet::budgetIn(lists, "rich"));
  if (!fleet->serving()) {
    FAIL(fleet->problem().c_str());
  }
}

// Guards against a controller with an empty disk that counts in the quorum before it holds the log, or founds a group.
TEST(Process, ListsSurviveALostDiskAndASecondLoss)
{
  start("lost-disk");
  const auto revision = fleet->lists().value("uses_revision", std::uint64_t{ 0 });
  fleet->entry(3).end(SIGKILL);
  std::filesystem::remove_all(fleet->dataFolder(3));
  std::filesystem::create_directories(fleet->dataFolder(3));
  fleet->entry(3).start();
  const auto repaired = [&] {
    return fleet->metric(3, "rhubarbarch_controller_voter") == 1 && fleet->ready("entry-3");
  };
  require(*fleet, waitUntil(repaired), "the controller with the emptied folder does not vote again");
  fleet->entry(1).end(SIGKILL);

  const auto lists = fleet->lists();
  require(*fleet, lists.is_object(), "no controller leads after the second loss");
  LONGS_EQUAL(revision, lists.value("uses_revision", std::uint64_t{ 0 }));
  LONGS_EQUAL(ProcessFleet::kRichBudget, ProcessFleet::budgetIn(lists, "rich"));
  const auto changed = fleet->applyBudget(revision, ProcessFleet::kRichBudget + 1);
  require(*fleet, changed > revision, "a further change was not accepted: " + fleet->problem());
  LONGS_EQUAL(ProcessFleet::kRichBudget + 1, ProcessFleet::budgetIn(fleet->lists(), "rich"));
}

// Guards against operators that get no answer, and changes that are refused from then on, because the disks of the
// controllers were full for some seconds each, one after another.
TEST(Process, DisksThatAreFullInTurnLeaveNoOperatorUnanswered)
{
  start("full-disks");
  auto revision = fleet->lists().value("uses_revision", std::uint64_t{ 0 });
  auto budget = ProcessFleet::kRichBudget;
  for (const int entry : { 1, 2, 3, 1, 2, 3 }) {
    fleet->entry(entry).refuseWrites(true);
    // Its write is refused, if it leads or once another one has accepted the change.
    const auto answer = fleet->operateAt(entry, "/v1/lists/uses", ProcessFleet::budgetChange(revision, ++budget));
    require(*fleet,
            answer.status != 0 && answer.status != 504,
            "entry " + std::to_string(entry) + " does not answer with a full disk: " + describe(answer));
    const auto changed = fleet->applyBudget(revision, budget);
    require(*fleet, changed > revision, "a change beside a full disk was not accepted: " + fleet->problem());
    revision = changed;
    fleet->entry(entry).refuseWrites(false);
    const auto back = [&] {
      return fleet->metric(entry, "rhubarbarch_controller_voter") == 1 && fleet->ready(ProcessFleet::entryName(entry));
    };
    require(*fleet, waitUntil(back), "a controller whose disk has room again is not ready");
  }
  const auto changed = fleet->applyBudget(revision, ++budget);
  require(*fleet, changed > revision, "a change after the last full disk was not accepted: " + fleet->problem());
  LONGS_EQUAL(budget, ProcessFleet::budgetIn(fleet->lists(), "rich"));
  if (!fleet->serving()) {
    FAIL(fleet->problem().c_str());
  }
}

// Guards against requests that wait forever on connections that are open but forward nothing any more.
TEST(Process, SilentConnectionsAreReplaced)
{
  start("silent", true);
  // entry-1's connections to two entries and three agents; one per pair of instances.
  constexpr std::size_t kConnections = 5;
  const auto relayed = [&] {
    return fleet->relay(1).connections() + fleet->relay(2).connections() + fleet->relay(3).connections() ==
           kConnections;
  };
  require(*fleet, waitUntil(relayed), "not every connection of entry-1 goes through a relay");
  for (const int entry : { 1, 2, 3 }) {
    fleet->relay(entry).silence();
  }
  const auto answer = askUntilAnswered(*fleet, 1, ProcessFleet::chat(ProcessFleet::kRichKey, 5));
  require(*fleet, isWholeStream(answer, 5), "router 1 does not answer over new connections: " + describe(answer));
  if (!fleet->serving()) {
    FAIL(fleet->problem().c_str());
  }
}

// Guards against a graceful shutdown that cuts a stream, or that ends with an error.
TEST(Process, ShutdownFinishesOpenStreams)
{
  start("shutdown");
  slowEngines(*fleet);
  HttpCaller stream(fleet->callerPort(1), ProcessFleet::chat(ProcessFleet::kRichKey, kLongStream));
  require(*fleet, stream.readUntil("content"), "router 1 did not begin the stream");
  fleet->entry(1).signal(SIGTERM);
  const auto answer = stream.finish();
  require(*fleet, isWholeStream(answer, kLongStream), "the stream was cut: " + describe(answer));
  const auto code = fleet->entry(1).exitCode();
  require(*fleet, code == 0, "the process ended with " + std::to_string(code));
}
