#include "http_text.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>

namespace rhubarbarch::net {

namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr const char* kAllowed = "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS";

std::string_view
reason(std::int32_t aStatus)
{
  namespace http = boost::beast::http;
  const auto text = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(aStatus)));
  return { text.data(), text.size() };
}

void
addField(std::string& aHead, std::string_view aName, std::string_view aValue)
{
  aHead += aName;
  aHead += ": ";
  // Values may come from an upstream; a line break would start another field.
  std::ranges::copy_if(aValue, std::back_inserter(aHead), [](char aChar) {
    return static_cast<unsigned char>(aChar) >= 0x20 && aChar != '\x7f';
  });
  aHead += "\r\n";
}

} // namespace

bool
allowedMethod(std::string_view aMethod)
{
  constexpr std::array<std::string_view, 7> kMethods = { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS" };
  return std::ranges::find(kMethods, aMethod) != kMethods.end();
}

std::string
pathOfTarget(std::string aTarget)
{
  aTarget.resize(std::min(aTarget.find('?'), aTarget.size()));
  return aTarget;
}

std::string
bearerToken(std::string_view aAuthorization)
{
  const auto scheme = aAuthorization.substr(0, kBearer.size());
  if (!boost::beast::iequals({ scheme.data(), scheme.size() }, { kBearer.data(), kBearer.size() })) {
    return {};
  }
  return std::string(aAuthorization.substr(kBearer.size()));
}

std::int64_t
secondsRoundedUp(Duration aTime)
{
  return std::chrono::ceil<std::chrono::seconds>(aTime).count();
}

std::string
answerHead(const router::ReplyHead& aHead, const Framing& aFraming)
{
  std::string head = "HTTP/1.1 " + std::to_string(aHead.httpStatus) + " ";
  head += reason(aHead.httpStatus);
  head += "\r\n";
  if (!aHead.contentType.empty()) {
    addField(head, "Content-Type", aHead.contentType);
  }
  if (!aHead.requestId.empty()) {
    addField(head, "X-Request-Id", aHead.requestId);
  }
  if (aHead.retryAfter > Duration{ 0 }) {
    addField(head, "Retry-After", std::to_string(secondsRoundedUp(aHead.retryAfter)));
  }
  for (const auto& field : aHead.fields) {
    addField(head, field.name, field.value);
  }
  if (aHead.httpStatus == 405) {
    addField(head, "Allow", kAllowed);
  }
  if (aFraming.chunked && !aFraming.bodyless) {
    addField(head, "Transfer-Encoding", "chunked");
  } else if (!aHead.chunked && !aFraming.bodyless) {
    addField(head, "Content-Length", std::to_string(aHead.contentLength));
  }
  addField(head, "Connection", aFraming.keepAlive ? "keep-alive" : "close");
  return head + "\r\n";
}

std::string
refusalText(const Refusal& aRefusal, bool aHeadOnly)
{
  nlohmann::json body{ { "error", aRefusal.error }, { "ran", "no" } };
  if (aRefusal.retryAfter > Duration{ 0 }) {
    body["retry_after_ms"] = aRefusal.retryAfter.count();
  }
  const auto text = body.dump() + "\n";
  router::ReplyHead head;
  head.httpStatus = aRefusal.status;
  head.contentType = "application/json";
  head.retryAfter = aRefusal.retryAfter;
  head.contentLength = text.size();
  return answerHead(head, {}) + (aHeadOnly ? std::string() : text);
}

std::string
chunkStart(std::size_t aBytes)
{
  std::array<char, 2 * sizeof(std::size_t)> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), aBytes, 16);
  return std::string(digits.data(), end.ptr) + "\r\n";
}

} // namespace rhubarbarch::net
