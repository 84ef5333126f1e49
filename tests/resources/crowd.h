#pragma once

#include "child_process.h"

#include <poll.h>

#include <sys/resource.h>

#include <sstream>
#include <string>

namespace rhubarbarch::testing {

/// A request that is sent in part: a head, then the same piece a number of times, then a last piece.
struct PartialRequest
{
  std::string head;
  std::string piece;
  std::size_t pieces = 0;
  std::string tail;

  std::size_t size() const noexcept { return head.size() + piece.size() * pieces + tail.size(); }

  /// What follows after the first aSent bytes, without a copy; not all of it.
  std::string_view after(std::size_t aSent) const
  {
    if (aSent < head.size()) {
      return std::string_view(head).substr(aSent);
    }
    const auto sent = aSent - head.size();
    if (sent < piece.size() * pieces) {
      return std::string_view(piece).substr(sent % piece.size());
    }
    return std::string_view(tail).substr(sent - piece.size() * pieces);
  }
};

inline std::string
headOf(const std::string& aTarget, const std::string& aFields)
{
  return "POST " + aTarget + " HTTP/1.1\r\nHost: 127.0.0.1\r\n" + aFields + "\r\n";
}

/// @param aBytes of the body that are sent, all in chunks of aChunk bytes; the last chunk, of no bytes, never follows
inline PartialRequest
chunkedRequest(const std::string& aTarget, std::size_t aBytes, std::size_t aChunk)
{
  constexpr std::size_t kPieceBytes = 10'000;
  std::ostringstream chunk;
  chunk << std::hex << aChunk << "\r\n" << std::string(aChunk, 'x') << "\r\n";
  // Small chunks are sent many at a time, or the sender would need a call for each.
  const auto together = std::max<std::size_t>(kPieceBytes / aChunk, 1);
  std::string piece;
  for (std::size_t each = 0; each < together; ++each) {
    piece += chunk.str();
  }
  return { headOf(aTarget, "Transfer-Encoding: chunked\r\n"), std::move(piece), aBytes / (aChunk * together), "" };
}

/// Callers that all send the same request at once and keep their connections open until the object ends.
class Crowd
{
public:
  Crowd(std::uint16_t aPort, std::size_t aCallers, PartialRequest aRequest)
    : mRequest(std::move(aRequest))
    , mCallers(aCallers)
  {
    raiseDescriptorLimit();
    for (auto& caller : mCallers) {
      caller.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(aPort);
      address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      caller.over = ::connect(caller.socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0;
    }
  }

  ~Crowd()
  {
    std::ranges::for_each(mCallers, [](const Caller& aCaller) { ::close(aCaller.socket); });
  }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;
  Crowd(Crowd&&) = delete;
  Crowd& operator=(Crowd&&) = delete;

  /// Sends until each caller has sent everything or its connection takes no more, at most for kSendLimit.
  /// @param aBetween called after each round
  void send(const std::function<void()>& aBetween)
  {
    const auto limit = std::chrono::steady_clock::now() + kSendLimit;
    while (std::chrono::steady_clock::now() < limit && sendRound()) {
      aBetween();
    }
    aBetween();
  }

private:
  struct Caller
  {
    int socket = -1;
    std::size_t sent = 0;
    bool over = false;
  };

  static constexpr std::chrono::seconds kSendLimit{ 8 };
  static constexpr int kPollMs = 50;

  /// The callers and the stand-ins share this process.
  static void raiseDescriptorLimit()
  {
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }

  /// @return whether a caller has more to send
  bool sendRound()
  {
    std::vector<pollfd> waiting;
    for (auto& caller : mCallers) {
      const auto text = caller.over ? std::string_view{} : mRequest.after(caller.sent);
      if (text.empty()) {
        caller.over = true;
        continue;
      }
      const auto sent = ::send(caller.socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      caller.sent += sent > 0 ? static_cast<std::size_t>(sent) : 0;
      caller.over = sent < 0 && errno != EAGAIN;
      if (!caller.over) {
        waiting.push_back({ caller.socket, POLLOUT, 0 });
      }
    }
    ::poll(waiting.data(), waiting.size(), kPollMs);
    return !waiting.empty();
  }

  PartialRequest mRequest;
  std::vector<Caller> mCallers;
};

} // namespace rhubarbarch::testing
