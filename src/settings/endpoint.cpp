#include "rhubarbarch/settings/settings.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace rhubarbarch::settings {

std::string
toString(const Endpoint& aEndpoint)
{
  const bool isV6 = aEndpoint.address.find(':') != std::string::npos;
  const auto host = isV6 ? "[" + aEndpoint.address + "]" : aEndpoint.address;
  return host + ":" + std::to_string(aEndpoint.port);
}

Result<Endpoint>
parseEndpoint(std::string_view aText)
{
  const auto invalid = [&] {
    return failure(ErrorCode::kInvalidArgument,
                   "'" + std::string(aText) + "' is not an IP address and port, for example 127.0.0.1:7101");
  };
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return invalid();
  }
  auto host = aText.substr(0, colon);
  const auto portText = aText.substr(colon + 1);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(portText.data(), portText.data() + portText.size(), port);
  if (parsed.ec != std::errc{} || parsed.ptr != portText.data() + portText.size()) {
    return invalid();
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(host), error);
  if (error || address.is_v6() != bracketed) {
    return invalid();
  }
  return Endpoint{ address.to_string(), port };
}

} // namespace rhubarbarch::settings
