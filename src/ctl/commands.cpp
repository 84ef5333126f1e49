#include "commands.h"

#include "rhubarbarch/settings/lists.h"
#include "table.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <ostream>
#include <sstream>

namespace rhubarbarch::ctl {

namespace {

using nlohmann::json;

constexpr Duration kWatchInterval{ 500 };

struct Context
{
  const ClientOptions& client;
  const CommandOptions& options;
  Streams streams;
};

using Arguments = std::vector<std::string>;

ExitCode
report(const Context& aContext, const Error& aError)
{
  aContext.streams.error << "rhubarbarchctl: " << aError.detail << '\n';
  return aError.code == ErrorCode::kUnavailable ? ExitCode::kUnavailable : ExitCode::kFailed;
}

/// Prints a refusal, or the answer as JSON or in the form that `aFormat` gives.
ExitCode
show(const Context& aContext, const Result<Reply>& aReply, const std::function<std::string(const json&)>& aFormat)
{
  if (!aReply) {
    return report(aContext, aReply.error());
  }
  const auto& reply = aReply.value();
  const auto code = exitCodeOf(reply);
  if (aContext.options.json) {
    aContext.streams.out << reply.body.dump() << '\n';
  } else if (code == ExitCode::kOk) {
    aContext.streams.out << aFormat(reply.body);
  }
  if (code != ExitCode::kOk) {
    aContext.streams.error << "rhubarbarchctl: " << reply.body.value("error", "refused") << ": "
                           << reply.body.value("detail", "") << '\n';
  }
  return code;
}

std::string
formatLists(const json& aBody)
{
  std::ostringstream text;
  text << "plans, revision " << aBody.value("plans_revision", 0) << '\n'
       << formatTable(aBody.value("plans", json::array()), { "plan", "workspace", "priority" }) << "\nuses, revision "
       << aBody.value("uses_revision", 0) << '\n'
       << formatTable(aBody.value("uses", json::array()), { "plan", "budget_tokens", "services", "models" })
       << "\nroutes\n"
       << formatTable(aBody.value("routes", json::array()), { "path", "service", "idempotent", "flat_tokens" });
  return text.str();
}

std::string
formatInstances(const json& aBody)
{
  std::ostringstream text;
  text << formatTable(
    aBody.value("instances", json::array()),
    { "instance", "role", "data_centre", "session", "plans_revision", "uses_revision", "silent_ms", "leaving" });
  text << "in force everywhere: " << (aBody.value("in_force_everywhere", false) ? "yes" : "no") << '\n';
  return text.str();
}

std::string
formatMoves(const json& aBody)
{
  return formatTable(aBody.value("moves", json::array()),
                     { "id", "model", "from_version", "to_version", "state", "per_mille", "reason" });
}

std::string
formatPlan(const json& aBody)
{
  return formatFields(aBody) + "\ngrants\n" +
         formatTable(aBody.value("grants", json::array()),
                     { "grant", "holder", "issued", "returned", "charged", "state" });
}

std::string
formatDecisions(const json& aBody)
{
  std::ostringstream text;
  for (const auto& decision : aBody.value("decisions", json::array())) {
    text << decision.dump() << '\n';
  }
  return text.str();
}

Result<std::string>
readFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return failure(ErrorCode::kIo, aPath + ": cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Checks the document here, so that a mistake is reported with its line before anything is sent.
Result<void>
checkDocument(const std::string& aList, const std::string& aText)
{
  if (aList == "plans") {
    const auto parsed = settings::parsePlans(aText);
    return parsed ? Result<void>(boost::outcome_v2::success()) : Result<void>(parsed.as_failure());
  }
  const auto parsed = settings::parseUses(aText);
  return parsed ? Result<void>(boost::outcome_v2::success()) : Result<void>(parsed.as_failure());
}

Result<std::uint64_t>
expectedRevision(const Context& aContext, const std::string& aList)
{
  if (aContext.options.expected) {
    return *aContext.options.expected;
  }
  const auto lists = callFleet(aContext.client, { "GET", "/v1/lists", nullptr });
  if (!lists) {
    return lists.as_failure();
  }
  if (exitCodeOf(lists.value()) != ExitCode::kOk) {
    return failure(ErrorCode::kDenied, lists.value().body.value("detail", "the lists cannot be read"));
  }
  return lists.value().body.value(aList + "_revision", std::uint64_t{ 0 });
}

ExitCode
usageError(const Context& aContext, const std::string& aProblem)
{
  aContext.streams.error << "rhubarbarchctl: " << aProblem << "\n" << usageText();
  return ExitCode::kUsage;
}

ExitCode
applyList(const Context& aContext, const Arguments& aArguments)
{
  const auto& list = aArguments.at(1);
  if (list != "plans" && list != "uses") {
    return usageError(aContext, "'" + list + "' is not a list; the lists are plans and uses");
  }
  const auto text = readFile(aArguments.at(2));
  if (!text) {
    report(aContext, text.error());
    return ExitCode::kBadInput;
  }
  if (const auto checked = checkDocument(list, text.value()); !checked) {
    report(aContext, checked.error());
    return ExitCode::kBadInput;
  }
  const auto expected = expectedRevision(aContext, list);
  if (!expected) {
    const auto code = report(aContext, expected.error());
    return expected.error().code == ErrorCode::kDenied ? ExitCode::kDenied : code;
  }
  const json body = { { "request_id", aContext.options.requestId },
                      { "expected_revision", expected.value() },
                      { "document", text.value() } };
  return show(aContext, callFleet(aContext.client, { "POST", "/v1/lists/" + list, body }), [&](const json& aBody) {
    return list + ": accepted, revision " + aBody.value("revision", json(0)).dump() + "\n";
  });
}

ExitCode
showLists(const Context& aContext, const Arguments& /*unused*/)
{
  return show(aContext, callFleet(aContext.client, { "GET", "/v1/lists", nullptr }), formatLists);
}

ExitCode
showInstances(const Context& aContext, const Arguments& /*unused*/)
{
  return show(aContext, callFleet(aContext.client, { "GET", "/v1/instances", nullptr }), formatInstances);
}

ExitCode
showMoves(const Context& aContext, const Arguments& /*unused*/)
{
  return show(aContext, callFleet(aContext.client, { "GET", "/v1/moves", nullptr }), formatMoves);
}

ExitCode
showPlan(const Context& aContext, const Arguments& aArguments)
{
  return show(aContext, callFleet(aContext.client, { "GET", "/v1/plans/" + aArguments.at(1), nullptr }), formatPlan);
}

ExitCode
explain(const Context& aContext, const Arguments& aArguments)
{
  return show(
    aContext, callFleet(aContext.client, { "GET", "/v1/requests/" + aArguments.at(1), nullptr }), formatDecisions);
}

/// The move with this id, or null.
json
findMove(const json& aBody, const std::string& aId)
{
  const auto moves = aBody.value("moves", json::array());
  const auto found = std::ranges::find_if(moves, [&](const json& aMove) { return aMove.value("id", "") == aId; });
  return found == moves.end() ? json() : *found;
}

ExitCode
watchMove(const Context& aContext, const std::string& aId)
{
  std::string shown;
  while (true) {
    const auto reply = callFleet(aContext.client, { "GET", "/v1/moves", nullptr });
    if (!reply) {
      return report(aContext, reply.error());
    }
    const auto move = findMove(reply.value().body, aId);
    if (move.is_null()) {
      aContext.streams.error << "rhubarbarchctl: there is no move '" << aId << "'\n";
      return ExitCode::kNotFound;
    }
    const auto state = move.value("state", "");
    const auto line = aContext.options.json ? move.dump() : formatMoves({ { "moves", json::array({ move }) } });
    if (line != shown) {
      aContext.streams.out << line << (aContext.options.json ? "\n" : "") << std::flush;
      shown = line;
    }
    if (state == "done") {
      return ExitCode::kOk;
    }
    if (state == "taken_back") {
      return ExitCode::kTakenBack;
    }
    aContext.client.pause(kWatchInterval);
  }
}

ExitCode
requestMove(const Context& aContext, const Arguments& aArguments)
{
  if (aContext.options.deadline.count() <= 0) {
    return usageError(aContext, "a move needs --deadline in seconds");
  }
  const auto deadline = aContext.options.now() + aContext.options.deadline;
  const json body = { { "request_id", aContext.options.requestId },
                      { "model", aArguments.at(1) },
                      { "to_version", aArguments.at(2) },
                      { "deadline_unix_ms", deadline.time_since_epoch().count() } };
  const auto reply = callFleet(aContext.client, { "POST", "/v1/moves", body });
  const auto code = show(aContext, reply, [&](const json&) { return "move " + aContext.options.requestId + "\n"; });
  const bool follow = code == ExitCode::kOk && aContext.options.watch;
  return follow ? watchMove(aContext, aContext.options.requestId) : code;
}

ExitCode
watch(const Context& aContext, const Arguments& aArguments)
{
  return watchMove(aContext, aArguments.at(1));
}

struct Command
{
  std::size_t arguments; ///< including the command itself
  ExitCode (*run)(const Context&, const Arguments&);
};

const std::map<std::string, Command>&
commands()
{
  static const std::map<std::string, Command> kCommands = {
    { "apply", { 3, applyList } },  { "lists", { 1, showLists } }, { "instances", { 1, showInstances } },
    { "move", { 3, requestMove } }, { "moves", { 1, showMoves } }, { "watch", { 2, watch } },
    { "plan", { 2, showPlan } },    { "explain", { 2, explain } }
  };
  return kCommands;
}

} // namespace

ExitCode
runCommand(const std::vector<std::string>& aArguments,
           const ClientOptions& aClient,
           const CommandOptions& aOptions,
           Streams aStreams)
{
  const Context context{ aClient, aOptions, aStreams };
  if (aArguments.empty()) {
    return usageError(context, "a command is needed");
  }
  const auto found = commands().find(aArguments.front());
  if (found == commands().end()) {
    return usageError(context, "there is no command '" + aArguments.front() + "'");
  }
  if (aArguments.size() != found->second.arguments) {
    return usageError(context, "wrong number of arguments for '" + aArguments.front() + "'");
  }
  return found->second.run(context, aArguments);
}

const char*
usageText() noexcept
{
  return R"(Usage: rhubarbarchctl --server IP:PORT[,IP:PORT...] [--json] COMMAND
  apply plans FILE          replace the plans list (--expected REVISION, --request_id ID)
  apply uses FILE           replace the uses list (the same options)
  lists                     show the lists in force with their revisions
  instances                 show each instance and the revisions it has in force
  move MODEL VERSION        move a model to a version (--deadline SECONDS, --watch)
  moves                     show the version moves
  watch ID                  follow a move to its end
  plan NAME                 show a plan's balance, grants, doubts and charges
  explain REQUEST           show the decisions on a request
The token is read from the file named by --token_file or from RHUBARBARCH_TOKEN.
Exit codes: 0 done, 1 unexpected, 2 usage, 3 bad input, 4 conflict, 5 no controller, 6 move taken back, 7 denied,
8 not found.
)";
}

} // namespace rhubarbarch::ctl
