#include "http_client.h"

#include "rhubarbarch/base/http_status.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <cstdint>
#include <limits>

namespace rhubarbarch::ctl {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// Runs one asynchronous step to its end.
template<typename Start>
error_code
runStep(boost::asio::io_context& aIo, Start aStart)
{
  error_code result;
  aStart([&result](error_code aError, auto&&...) { result = aError; });
  aIo.restart();
  aIo.run();
  return result;
}

Error
toError(const error_code& aError, ErrorCode aOtherwise)
{
  const auto code = aError == beast::error::timeout ? ErrorCode::kDeadline : aOtherwise;
  return { code, aError.message() };
}

http::request<http::string_body>
toRequest(const settings::Endpoint& aServer, const std::string& aToken, const Call& aCall)
{
  constexpr int kHttp11 = 11;
  http::request<http::string_body> request(http::string_to_verb(aCall.method), aCall.path, kHttp11);
  request.set(http::field::host, settings::toString(aServer));
  request.set(http::field::connection, "close");
  if (!aToken.empty()) {
    request.set(http::field::authorization, "Bearer " + aToken);
  }
  if (!aCall.body.is_null()) {
    request.set(http::field::content_type, "application/json");
    request.body() = aCall.body.dump();
  }
  request.prepare_payload();
  return request;
}

} // namespace

Result<Reply>
call(const settings::Endpoint& aServer, const std::string& aToken, const Call& aCall, Duration aTimeout)
{
  boost::asio::io_context io;
  beast::tcp_stream stream(io);
  stream.expires_after(aTimeout);
  const tcp::endpoint endpoint(boost::asio::ip::make_address(aServer.address), aServer.port);
  if (const auto error = runStep(io, [&](auto aDone) { stream.async_connect(endpoint, aDone); })) {
    const auto failed = toError(error, ErrorCode::kUnavailable);
    return failure(failed.code, settings::toString(aServer) + ": " + failed.detail);
  }
  const auto request = toRequest(aServer, aToken, aCall);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  // Without a number, Boost 1.74 compares the length with an indeterminate value and refuses answers at random.
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  auto error = runStep(io, [&](auto aDone) { http::async_write(stream, request, aDone); });
  if (!error) {
    error = runStep(io, [&](auto aDone) { http::async_read(stream, buffer, parser, aDone); });
  }
  if (error) {
    const auto failed = toError(error, ErrorCode::kIo);
    return failure(failed.code, settings::toString(aServer) + ": " + failed.detail);
  }
  const auto& response = parser.get();
  if (!isHttpStatus(response.result_int())) {
    const auto status = std::to_string(response.result_int());
    return failure(ErrorCode::kProtocol, settings::toString(aServer) + ": status " + status + " is out of range");
  }
  auto body = nlohmann::json::parse(response.body(), nullptr, false);
  if (body.is_discarded()) {
    return failure(ErrorCode::kParse, settings::toString(aServer) + ": the answer is not JSON");
  }
  return Reply{ static_cast<int>(response.result_int()), std::move(body) };
}

} // namespace rhubarbarch::ctl
