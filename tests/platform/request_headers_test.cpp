#include "request_headers.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::platform;

namespace {

bool
has(const HttpFields& aFields, const std::string& aName)
{
  return std::ranges::any_of(aFields, [&](const HttpField& aField) { return aField.name == aName; });
}

std::string
valueOf(const net::HttpCall& aCall, const std::string& aName)
{
  const auto found = std::ranges::find(aCall.fields, aName, &std::pair<std::string, std::string>::first);
  return found == aCall.fields.end() ? "" : found->second;
}

} // namespace

TEST_GROUP(RequestHeaders)
{
  router::CallerRequest request;

  void setup() override
  {
    request.method = "POST";
    request.target = "/a/b?c=1";
    request.body = "prompt";
    request.fields = { { "Host", "Shop.Example:8080" },
                       { "X-Request-Id", "9c41" },
                       { "X-Deadline-Ms", "6000" },
                       { "X-Key", "secret" },
                       { "X-Token-Usage", "1460,80" },
                       { "X-Prompt-Prefix", "5c1e:800,91bd:410,e440:250" },
                       { "X-Model", "m" },
                       { "X-Tenant", "someone" },
                       { "x-hold", "h" },
                       { "X-Pin-Ms", "900" },
                       { "Kv-From", "10.0.0.1:80/x" },
                       { "X-Request-Priority", "0" },
                       { "Connection", "keep-alive, X-Hop" },
                       { "X-Hop", "1" },
                       { "Content-Length", "6" } };
  }

  gateway::CallerCall decode()
  {
    return decodeCall(std::move(request));
  }
};

// Guards against limits of a request being read as something else.
TEST(RequestHeaders, decodesWhatTheCallerAsks)
{
  const auto call = decode();
  STRCMP_EQUAL("shop.example", call.host.c_str());
  STRCMP_EQUAL("secret", call.key.c_str());
  CHECK_EQUAL(6000, call.deadline.count());
  CHECK_EQUAL(1460, call.promptTokens);
  CHECK_EQUAL(80, call.maxOutputTokens);
  CHECK_EQUAL(3U, call.prompt.size());
  STRCMP_EQUAL("91bd", call.prompt[1].id.c_str());
  CHECK_EQUAL(410, call.prompt[1].tokens);
  STRCMP_EQUAL("prompt", call.body->c_str());
}

// Guards against a caller setting what is the system's to set, and against its key reaching an upstream.
TEST(RequestHeaders, passesOnlyTheCallersOwnFieldsOn)
{
  const auto call = decode();
  for (const char* name : { "X-Key",
                            "X-Tenant",
                            "x-hold",
                            "X-Pin-Ms",
                            "Kv-From",
                            "X-Request-Priority",
                            "Connection",
                            "X-Hop",
                            "Content-Length",
                            "Host",
                            "X-Deadline-Ms" }) {
    CHECK_FALSE(has(call.fields, name));
  }
  CHECK(has(call.fields, "X-Request-Id"));
  CHECK(has(call.fields, "X-Model"));
  CHECK(has(call.fields, "X-Prompt-Prefix"));
}

// Guards against malformed numbers stopping a request or being taken for a limit.
TEST(RequestHeaders, ignoresMalformedNumbers)
{
  request.fields = { { "X-Deadline-Ms", "soon" }, { "X-Token-Usage", "many" }, { "X-Prompt-Prefix", ",:,a" } };
  const auto call = decode();
  CHECK_EQUAL(0, call.deadline.count());
  CHECK_EQUAL(0, call.promptTokens);
  CHECK(call.prompt.empty() || call.prompt[0].tokens == 0);
}

// Guards against a request reaching another instance than the one it was placed at.
TEST(RequestHeaders, encodesWhatTheSystemSets)
{
  gateway::StartCall call;
  call.upstreamId = "i-7f";
  call.plan = "gold";
  call.priority = 12;
  call.model = true;
  call.deadline = Duration{ 1500 };
  call.lastEventId = "4";
  const auto encoded = encodeCall(call);
  STRCMP_EQUAL("i-7f", valueOf(encoded, "X-Expect-Instance").c_str());
  STRCMP_EQUAL("gold", valueOf(encoded, "X-Tenant").c_str());
  STRCMP_EQUAL("1500", valueOf(encoded, "X-Deadline-Ms").c_str());
  STRCMP_EQUAL("9", valueOf(encoded, "X-Request-Priority").c_str());
  STRCMP_EQUAL("4", valueOf(encoded, "Last-Event-Id").c_str());
}

// Guards against an answer to another request, or one that something on the way changed, being passed on.
TEST(RequestHeaders, trustsOnlySignedAnswersToThisRequest)
{
  const HttpFields good{ { "X-Request-Id", "q1" }, { "X-Response-Signature", "s" }, { "Keep-Alive", "timeout=5" } };
  const auto head = decodeHead({}, "q1", { 200, "", good });
  CHECK(head.genuine);
  CHECK_FALSE(has(head.fields, "Keep-Alive"));
  CHECK(has(head.fields, "X-Response-Signature"));
  CHECK_FALSE(decodeHead({}, "q2", { 200, "", good }).genuine);
  CHECK_FALSE(decodeHead({}, "q1", { 200, "", { { "X-Request-Id", "q1" } } }).genuine);
  auto encoded = good;
  encoded.push_back({ "Content-Encoding", "gzip" });
  CHECK_FALSE(decodeHead({}, "q1", { 200, "", encoded }).genuine);
}

// Guards against a rate limit being missed, and against other text being taken for one.
TEST(RequestHeaders, decodesTheRateLimitOfAnUpstream)
{
  const auto limitOf = [](const char* aText) {
    return decodeHead({}, "q1", { 200, "", { { "X-Request-Id", "q1" }, { "server-limit", aText } } }).callsPerSecond;
  };
  DOUBLES_EQUAL(2.7, limitOf("2.7").value_or(-1), 0.0001);
  DOUBLES_EQUAL(0, limitOf("0").value_or(-1), 0.0001);
  CHECK_FALSE(decodeHead({}, "q1", { 200, "", {} }).callsPerSecond.has_value());
  for (const auto* text : { "", "-1", "2.7 or so", "nan", "inf", "1e999" }) {
    CHECK_FALSE(limitOf(text).has_value());
  }
}

// Guards against the rest that an upstream asks for being missed, and against other text being taken for one: a date,
// words, or a number that is too large to count in milliseconds.
TEST(RequestHeaders, decodesTheRestThatAnUpstreamAsksFor)
{
  const auto restOf = [](const char* aText) {
    return decodeHead({}, "q1", { 429, "", { { "X-Request-Id", "q1" }, { "retry-after", aText } } }).retryAfter;
  };
  CHECK(restOf("2") == Duration{ 2000 });
  CHECK(restOf("0.0501") == Duration{ 51 });
  CHECK(restOf("0") == Duration{ 0 });
  CHECK(restOf("1e300") == Duration{ 86'400'000 });
  const HttpFields other{ { "X-Request-Id", "q9" }, { "Retry-After", "2" } };
  CHECK_FALSE(decodeHead({}, "q1", { 429, "", other }).retryAfter.has_value());
  for (const auto* text : { "", "-1", "soon", "nan", "inf", "1e999", "Sat, 05 Dec 2026 01:44:25 GMT" }) {
    CHECK_FALSE(restOf(text).has_value());
  }
}

// Guards against "not run" being believed of an answer to another request, and against it being missed.
TEST(RequestHeaders, decodesProofsOfNotRunning)
{
  CHECK(decodeHead({}, "q1", { 503, "", { { "X-Not-Executed", "1" } } }).notRun);
  CHECK_FALSE(decodeHead({}, "q1", { 503, "", { { "X-Not-Executed", "1" }, { "X-Request-Id", "q9" } } }).notRun);
  CHECK_FALSE(decodeHead({}, "q1", { 503, "", {} }).notRun);
  CHECK(decodeHead({}, "q1", { 421, "", {} }).otherInstance);
  CHECK(decodeHead({}, "q1", { 421, "", { { "X-Request-Id", "q1" } } }).otherInstance);
  // A second copy of an answer, late, on a connection that is in use again: an order would run twice.
  CHECK_FALSE(decodeHead({}, "q1", { 421, "", { { "X-Request-Id", "q9" } } }).otherInstance);
}

// Guards against a late copy of an earlier refusal that names no request being taken for one of the current request: a
// caller would be told "not run" of an order that is running, or the order would run twice.
TEST(RequestHeaders, believesRefusalsWithoutAnIdOnNewConnectionsOnly)
{
  for (const bool kept : { false, true }) {
    const auto refusal = decodeHead({}, "q1", { 503, "", { { "X-Not-Executed", "1" } }, kept });
    CHECK_EQUAL(!kept, refusal.notRun);
    CHECK_FALSE(refusal.genuine);
    CHECK_EQUAL(!kept, decodeHead({}, "q1", { 421, "", {}, kept }).otherInstance);
    CHECK(decodeHead({}, "q1", { 503, "", { { "X-Not-Executed", "1" }, { "X-Request-Id", "q1" } }, kept }).notRun);
  }
}

// Guards against a caller being told to come back at once because part of a second was cut off.
TEST(RequestHeaders, saysWhenToComeBackInFractions)
{
  gateway::ReplyHead head;
  head.httpStatus = 503;
  head.retryAfter = Duration{ 450 };
  const auto encoded = encodeReply(head);
  CHECK_EQUAL(1U, encoded.fields.size());
  STRCMP_EQUAL("0.450", encoded.fields[0].value.c_str());
}
