#include "model_call.h"

#include "rhubarbarch/router/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

#include <string>

namespace rhubarbarch::router {

namespace {

using nlohmann::json;

constexpr std::size_t kPrefixBytes = 1024;

void
appendText(std::string& aText, const json& aPart)
{
  aText += aPart.is_string() ? aPart.get<std::string>() : aPart.dump(-1, ' ', false, json::error_handler_t::replace);
  aText += '\n';
}

std::string
promptPrefix(const json& aBody)
{
  std::string text;
  if (const auto prompt = aBody.find("prompt"); prompt != aBody.end()) {
    appendText(text, *prompt);
  }
  if (const auto messages = aBody.find("messages"); messages != aBody.end() && messages->is_array()) {
    for (const json& message : *messages) {
      if (text.size() >= kPrefixBytes) {
        break;
      }
      if (message.is_object()) {
        appendText(text, message.value("role", json()));
        appendText(text, message.value("content", json()));
      }
    }
  }
  return text.substr(0, kPrefixBytes);
}

Result<Tokens>
outputCap(const json& aBody, const RouterOptions& aOptions)
{
  Tokens cap = aOptions.defaultMaxTokens;
  for (const char* name : { "max_tokens", "max_completion_tokens" }) {
    const auto field = aBody.find(name);
    if (field == aBody.end() || field->is_null()) {
      continue;
    }
    if (!field->is_number_integer() || *field < 1 || *field > aOptions.maxMaxTokens) {
      return failure(ErrorCode::kInvalidArgument,
                     std::string(name) + " must be between 1 and " + std::to_string(aOptions.maxMaxTokens));
    }
    cap = field->get<Tokens>();
  }
  return cap;
}

/// Detects calls for several answers, which would exceed the output cap of a single answer.
bool
requestsSeveralAnswers(const json& aBody)
{
  return std::ranges::any_of(std::array{ "n", "best_of" }, [&](const char* aName) {
    const auto field = aBody.find(aName);
    return field != aBody.end() && !field->is_null() && *field != 1;
  });
}

} // namespace

Result<ModelCall>
parseModelCall(std::string_view aBody, const RouterOptions& aOptions)
{
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return failure(ErrorCode::kParse, "the body is not a JSON object");
  }
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return failure(ErrorCode::kInvalidArgument, "model is missing");
  }
  if (requestsSeveralAnswers(body)) {
    return failure(ErrorCode::kInvalidArgument, "only one answer per call is supported");
  }
  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_boolean() && !stream->is_null()) {
    return failure(ErrorCode::kInvalidArgument, "stream must be true or false");
  }
  const auto cap = outputCap(body, aOptions);
  if (!cap) {
    return cap.error();
  }
  ModelCall call;
  call.model = model->get<std::string>();
  call.maxTokens = cap.value();
  // A token represents at least one byte of the body, so the byte count is an upper bound.
  call.promptTokens = static_cast<Tokens>(aBody.size());
  call.stream = stream != body.end() && stream->is_boolean() && stream->get<bool>();
  call.prefixHash = stableHash(promptPrefix(body));
  return call;
}

} // namespace rhubarbarch::router
