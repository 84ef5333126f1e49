#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

// Shared by the C++17 unit that holds websocketpp and by C++20 code, so it includes no header that needs C++20.

namespace rhubarbarch {
namespace net {

/// Number of one connection of a WebsocketTransport; never reused.
enum class LinkId : std::uint64_t
{
};

/// Limits of a transport.
struct WebsocketOptions
{
  std::size_t smallMessageBytes = 4096; ///< largest message before allowLargeMessages()
  std::size_t largeMessageBytes = std::size_t{ 8 } * 1024 * 1024;
  std::chrono::milliseconds handshakeTimeout{ 3000 };
};

/// Callbacks, all on the thread that is in run().
struct WebsocketEvents
{
  std::function<void(LinkId, bool aOutgoing)> opened;
  std::function<void(LinkId, const std::string& aReason)> closed; ///< also when connecting failed
  std::function<void(LinkId, std::string&&)> message;
};

/// Binary messages over websocket connections. Owns its event loop; all calls but post() and stop() belong on its
/// thread, or before run().
///
/// Usage: `WebsocketTransport transport(options, events); transport.listen("10.0.0.1", 7000); transport.run();`
class WebsocketTransport
{
public:
  WebsocketTransport(WebsocketOptions aOptions, WebsocketEvents aEvents);
  ~WebsocketTransport();
  WebsocketTransport(const WebsocketTransport&) = delete;
  WebsocketTransport& operator=(const WebsocketTransport&) = delete;

  /// Accepts connections.
  /// @param aPort zero takes any free port
  /// @return empty, or why the port cannot be used
  std::string listen(const std::string& aIp, std::uint16_t aPort);
  /// @return the port in use after listen()
  std::uint16_t port() const;

  /// Opens a connection; opened or closed follows.
  /// @param aEndpoint `ip:port`
  LinkId connect(const std::string& aEndpoint);

  /// Queues one message; no effect on a link that is closed.
  void send(LinkId aLink, const std::string& aMessage);
  /// @return bytes that are queued and not yet handed to the operating system
  std::size_t bufferedBytes(LinkId aLink) const;
  void allowLargeMessages(LinkId aLink);
  void pauseReading(LinkId aLink);
  void resumeReading(LinkId aLink);
  /// Closes at once without waiting for queued bytes; `closed` follows.
  void drop(LinkId aLink);

  /// Calls back on the transport's thread, every period.
  void startTimer(std::chrono::milliseconds aPeriod, std::function<void()> aTask);
  /// Runs a task on the transport's thread; callable from any thread.
  void post(std::function<void()> aTask);
  /// Serves until stop().
  void run();
  /// Ends run(); callable from any thread.
  void stop();

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace net
} // namespace rhubarbarch
