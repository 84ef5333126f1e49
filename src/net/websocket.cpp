#include "rhubarbarch/net/websocket.h"

#include <boost/asio.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <unordered_map>
#include <vector>

namespace rhubarbarch {
namespace net {

namespace {

// One configuration for both endpoints, so that accepted and opened connections have the same type.
struct LinkConfig : public websocketpp::config::asio_client
{
  static const websocketpp::log::level elog_level = websocketpp::log::elevel::none;
  static const websocketpp::log::level alog_level = websocketpp::log::alevel::none;
  static const long timeout_close_handshake = 1000;
};

using Server = websocketpp::server<LinkConfig>;
using Client = websocketpp::client<LinkConfig>;
using Connection = Server::connection_ptr;
using Handle = websocketpp::connection_hdl;

constexpr const char* kResource = "/peer";

} // namespace

struct WebsocketTransport::State
{
  State(WebsocketOptions aOptions, WebsocketEvents aEvents)
    : options(aOptions)
    , events(std::move(aEvents))
    , work(boost::asio::make_work_guard(context))
  {
    prepare(server);
    prepare(client);
    server.set_reuse_addr(true);
    server.set_tcp_post_init_handler([this](Handle aHandle) { accepted(aHandle); });
    client.set_tcp_post_init_handler([this](Handle aHandle) { setNoDelay(client.get_con_from_hdl(aHandle)); });
    server.set_open_handler([this](Handle aHandle) { opened(server.get_con_from_hdl(aHandle), false); });
    client.set_open_handler([this](Handle aHandle) { opened(client.get_con_from_hdl(aHandle), true); });
  }

  template<typename Endpoint>
  void prepare(Endpoint& aEndpoint)
  {
    aEndpoint.init_asio(&context);
    aEndpoint.set_max_message_size(options.smallMessageBytes);
    aEndpoint.set_open_handshake_timeout(options.handshakeTimeout.count());
    aEndpoint.set_message_handler([this, &aEndpoint](Handle aHandle, typename Endpoint::message_ptr aMessage) {
      const auto found = links.find(aEndpoint.get_con_from_hdl(aHandle).get());
      if (found != links.end()) {
        events.message(found->second, std::string(aMessage->get_payload()));
      }
    });
    aEndpoint.set_close_handler([this, &aEndpoint](Handle aHandle) { closed(aEndpoint.get_con_from_hdl(aHandle)); });
    aEndpoint.set_fail_handler([this, &aEndpoint](Handle aHandle) { closed(aEndpoint.get_con_from_hdl(aHandle)); });
  }

  static void setNoDelay(const Connection& aConnection)
  {
    boost::system::error_code ignored;
    aConnection->get_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  }

  void accepted(Handle aHandle)
  {
    const auto connection = server.get_con_from_hdl(aHandle);
    setNoDelay(connection);
    add(connection);
  }

  LinkId add(const Connection& aConnection)
  {
    const auto link = static_cast<LinkId>(++lastLink);
    links[aConnection.get()] = link;
    connections[link] = aConnection;
    return link;
  }

  void opened(const Connection& aConnection, bool aOutgoing)
  {
    const auto found = links.find(aConnection.get());
    if (found != links.end()) {
      events.opened(found->second, aOutgoing);
    }
  }

  void closed(const Connection& aConnection)
  {
    const auto found = links.find(aConnection.get());
    if (found == links.end()) {
      return;
    }
    const LinkId link = found->second;
    links.erase(found);
    connections.erase(link);
    auto reason = aConnection->get_ec().message();
    if (!aConnection->get_remote_close_reason().empty()) {
      reason += ": " + aConnection->get_remote_close_reason();
    }
    events.closed(link, reason);
  }

  Connection find(LinkId aLink) const
  {
    const auto found = connections.find(aLink);
    return found == connections.end() ? Connection() : found->second;
  }

  void tick(std::chrono::milliseconds aPeriod,
            std::shared_ptr<boost::asio::steady_timer> aTimer,
            std::function<void()> aTask)
  {
    aTimer->expires_after(aPeriod);
    aTimer->async_wait([this, aPeriod, aTimer, aTask](const boost::system::error_code& aError) {
      if (!aError) {
        aTask();
        tick(aPeriod, aTimer, aTask);
      }
    });
  }

  WebsocketOptions options;
  WebsocketEvents events;
  boost::asio::io_context context{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  Server server;
  Client client;
  std::unordered_map<const void*, LinkId> links;
  std::unordered_map<LinkId, Connection> connections;
  std::uint64_t lastLink = 0;
};

WebsocketTransport::WebsocketTransport(WebsocketOptions aOptions, WebsocketEvents aEvents)
  : mState(std::make_unique<State>(aOptions, std::move(aEvents)))
{
}

WebsocketTransport::~WebsocketTransport()
{
  // Handlers that still wait in the event loop must not reach the owner any more.
  mState->links.clear();
  mState->connections.clear();
}

std::string
WebsocketTransport::listen(const std::string& aIp, std::uint16_t aPort)
{
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(aIp, error);
  if (error) {
    return "address '" + aIp + "': " + error.message();
  }
  websocketpp::lib::error_code refused;
  mState->server.listen(boost::asio::ip::tcp::endpoint(address, aPort), refused);
  if (!refused) {
    mState->server.start_accept(refused);
  }
  if (!refused) {
    return {};
  }
  // websocketpp does not pass the reason on; binding once more tells it.
  const boost::asio::ip::tcp::endpoint endpoint(address, aPort);
  boost::asio::ip::tcp::acceptor acceptor(mState->context, endpoint.protocol());
  acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  acceptor.bind(endpoint, error);
  if (!error) {
    acceptor.listen(1, error);
  }
  return aIp + ":" + std::to_string(aPort) + ": " + (error ? error.message() : refused.message());
}

std::uint16_t
WebsocketTransport::port() const
{
  boost::system::error_code ignored;
  return mState->server.get_local_endpoint(ignored).port();
}

LinkId
WebsocketTransport::connect(const std::string& aEndpoint)
{
  websocketpp::lib::error_code error;
  const auto connection = mState->client.get_connection("ws://" + aEndpoint + kResource, error);
  if (error) {
    const auto link = static_cast<LinkId>(++mState->lastLink);
    post([this, link, reason = error.message()] { mState->events.closed(link, reason); });
    return link;
  }
  const LinkId link = mState->add(connection);
  mState->client.connect(connection);
  return link;
}

void
WebsocketTransport::send(LinkId aLink, const std::string& aMessage)
{
  if (const auto connection = mState->find(aLink)) {
    connection->send(aMessage, websocketpp::frame::opcode::binary);
  }
}

std::size_t
WebsocketTransport::bufferedBytes(LinkId aLink) const
{
  const auto connection = mState->find(aLink);
  return connection ? connection->get_buffered_amount() : 0;
}

void
WebsocketTransport::allowLargeMessages(LinkId aLink)
{
  if (const auto connection = mState->find(aLink)) {
    connection->set_max_message_size(mState->options.largeMessageBytes);
  }
}

void
WebsocketTransport::pauseReading(LinkId aLink)
{
  if (const auto connection = mState->find(aLink)) {
    connection->pause_reading();
  }
}

void
WebsocketTransport::resumeReading(LinkId aLink)
{
  if (const auto connection = mState->find(aLink)) {
    connection->resume_reading();
  }
}

void
WebsocketTransport::drop(LinkId aLink)
{
  const auto connection = mState->find(aLink);
  if (!connection) {
    return;
  }
  // Closing the socket fails the pending read, after which websocketpp ends the connection without a close handshake,
  // which would wait behind the queued bytes.
  boost::system::error_code ignored;
  connection->get_socket().close(ignored);
  mState->links.erase(connection.get());
  mState->connections.erase(aLink);
  post([this, aLink] { mState->events.closed(aLink, "closed by this process"); });
}

void
WebsocketTransport::startTimer(std::chrono::milliseconds aPeriod, std::function<void()> aTask)
{
  mState->tick(aPeriod, std::make_shared<boost::asio::steady_timer>(mState->context), std::move(aTask));
}

void
WebsocketTransport::post(std::function<void()> aTask)
{
  boost::asio::post(mState->context, std::move(aTask));
}

void
WebsocketTransport::run()
{
  mState->context.run();
}

void
WebsocketTransport::stop()
{
  mState->context.stop();
}

} // namespace net
} // namespace rhubarbarch
