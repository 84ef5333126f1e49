// Stand-ins for the review's scripts: the platform, plain services, clients, and the start of the project's processes.
// Header only, POSIX sockets and threads, no library beyond the C++ standard one.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace stand {

using Clock = std::chrono::steady_clock;

inline Clock::time_point gStart = Clock::now();

inline long
ms()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - gStart).count();
}

inline void
rest(long aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

/// record.txt: what was sent, answered and run, with milliseconds since the start.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath, std::ios::trunc)
  {
  }
  void operator()(const std::string& aLine)
  {
    const std::scoped_lock lock(mMutex);
    mFile << ms() << " " << aLine << "\n";
    mFile.flush();
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

inline std::unique_ptr<Record> gRecord;

inline void
record(const std::string& aLine)
{
  (*gRecord)(aLine);
}

inline sockaddr_in
address(const std::string& aIp, int aPort)
{
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &name.sin_addr);
  return name;
}

inline bool
sendAll(int aSocket, const std::string& aText)
{
  std::size_t at = 0;
  while (at < aText.size()) {
    const auto sent = ::send(aSocket, aText.data() + at, aText.size() - at, MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    at += static_cast<std::size_t>(sent);
  }
  return true;
}

/// @return 1 when bytes were added, 0 at the end of the connection or an error, -1 at the time-out
inline int
receiveSome(int aSocket, std::string& aBuffer, long aMs)
{
  pollfd wait{ aSocket, POLLIN, 0 };
  const int ready = ::poll(&wait, 1, static_cast<int>(std::max(aMs, 0L)));
  if (ready == 0) {
    return -1;
  }
  char bytes[16384];
  const auto got = ::recv(aSocket, bytes, sizeof(bytes), 0);
  if (got <= 0) {
    return 0;
  }
  aBuffer.append(bytes, static_cast<std::size_t>(got));
  return 1;
}

struct Message
{
  std::string first;                         ///< request or status line
  std::map<std::string, std::string> fields; ///< names in lower case
  std::string body;
  std::string field(const std::string& aName) const
  {
    const auto found = fields.find(aName);
    return found == fields.end() ? "" : found->second;
  }
  int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
  std::string method() const { return first.substr(0, first.find(' ')); }
  std::string target() const
  {
    const auto begin = first.find(' ') + 1;
    return first.substr(begin, first.find(' ', begin) - begin);
  }
};

inline Message
parseHead(const std::string& aHead)
{
  Message message;
  std::istringstream lines(aHead);
  std::string line;
  std::getline(lines, message.first);
  if (!message.first.empty() && message.first.back() == '\r') {
    message.first.pop_back();
  }
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    auto name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    const auto begin = line.find_first_not_of(' ', colon + 1);
    message.fields[name] = begin == std::string::npos ? "" : line.substr(begin);
  }
  return message;
}

enum class Read
{
  kWhole,
  kClosed, ///< the connection ended before the message was whole
  kSilent  ///< time-out
};

/// Reads one message with a length or in chunks.
inline Read
readMessage(int aSocket, std::string& aBuffer, Message& aMessage, long aMs)
{
  const auto until = ms() + aMs;
  const auto more = [&]() {
    const int got = receiveSome(aSocket, aBuffer, until - ms());
    return got == 1 ? Read::kWhole : got == 0 ? Read::kClosed : Read::kSilent;
  };
  while (aBuffer.find("\r\n\r\n") == std::string::npos) {
    if (const auto got = more(); got != Read::kWhole) {
      return got;
    }
  }
  const auto end = aBuffer.find("\r\n\r\n");
  aMessage = parseHead(aBuffer.substr(0, end + 2));
  aBuffer.erase(0, end + 4);
  if (aMessage.field("transfer-encoding") == "chunked") {
    for (;;) {
      while (aBuffer.find("\r\n") == std::string::npos) {
        if (const auto got = more(); got != Read::kWhole) {
          return got;
        }
      }
      const auto line = aBuffer.find("\r\n");
      const auto size = std::strtoul(aBuffer.c_str(), nullptr, 16);
      while (aBuffer.size() < line + 2 + size + 2) {
        if (const auto got = more(); got != Read::kWhole) {
          return got;
        }
      }
      aMessage.body += aBuffer.substr(line + 2, size);
      aBuffer.erase(0, line + 2 + size + 2);
      if (size == 0) {
        return Read::kWhole;
      }
    }
  }
  const auto length = std::strtoul(aMessage.field("content-length").c_str(), nullptr, 10);
  while (aBuffer.size() < length) {
    if (const auto got = more(); got != Read::kWhole) {
      return got;
    }
  }
  aMessage.body = aBuffer.substr(0, length);
  aBuffer.erase(0, length);
  return Read::kWhole;
}

/// A listening socket with a thread for each connection. Ends all of them when stopped.
class Server
{
public:
  using Serve = std::function<void(int aSocket, Server& aServer)>;

  Server(std::string aIp, int aPort, Serve aServe)
    : ip(std::move(aIp))
    , port(aPort)
    , mServe(std::move(aServe))
  {
    open();
  }
  ~Server() { stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  void open()
  {
    mListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto name = address(ip, port);
    if (::bind(mListener, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0 || ::listen(mListener, 256) != 0) {
      std::fprintf(stderr, "cannot listen at %s:%d\n", ip.c_str(), port);
      std::exit(2);
    }
    socklen_t size = sizeof(name);
    ::getsockname(mListener, reinterpret_cast<sockaddr*>(&name), &size);
    port = ntohs(name.sin_port);
    stopping = false;
    mAccept = std::thread([this] { accept(); });
  }

  /// As a crash does: the listener and all connections end at once.
  void stop()
  {
    if (stopping.exchange(true)) {
      return;
    }
    ::shutdown(mListener, SHUT_RDWR);
    ::close(mListener);
    mAccept.join();
    {
      const std::scoped_lock lock(mMutex);
      for (const int each : mOpen) {
        const linger now{ 1, 0 };
        ::setsockopt(each, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        ::shutdown(each, SHUT_RDWR);
      }
    }
    for (auto& each : mThreads) {
      each.join();
    }
    mThreads.clear();
  }

  std::string endpoint() const { return ip + ":" + std::to_string(port); }

  std::string ip;
  int port;
  std::atomic<bool> stopping{ true };

private:
  void accept()
  {
    for (;;) {
      const int socket = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (stopping || socket < 0) {
        if (socket >= 0) {
          ::close(socket);
        }
        return;
      }
      const int on = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const std::scoped_lock lock(mMutex);
      mOpen.insert(socket);
      mThreads.emplace_back([this, socket] {
        mServe(socket, *this);
        const std::scoped_lock closing(mMutex);
        mOpen.erase(socket);
        ::close(socket);
      });
    }
  }

  Serve mServe;
  int mListener = -1;
  std::thread mAccept;
  std::mutex mMutex;
  std::set<int> mOpen;
  std::vector<std::thread> mThreads;
};

inline std::string
answerText(int aStatus, const std::string& aFields, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " x\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// The platform's list. The entries are texts, so that any of them may hold bytes that cannot be read.
class Platform
{
public:
  Platform(const std::string& aIp)
    : mServer(aIp, 0, [this](int aSocket, Server& aServer) { serve(aSocket, aServer); })
  {
  }
  void set(const std::string& aId, const std::string& aEntry)
  {
    const std::scoped_lock lock(mMutex);
    if (aEntry.empty()) {
      mEntries.erase(aId);
    } else {
      mEntries[aId] = aEntry;
    }
  }
  std::string endpoint() const { return mServer.endpoint(); }

private:
  void serve(int aSocket, Server& aServer)
  {
    std::string buffer;
    Message call;
    while (!aServer.stopping && readMessage(aSocket, buffer, call, 60000) == Read::kWhole) {
      std::string body;
      {
        const std::scoped_lock lock(mMutex);
        for (const auto& [id, entry] : mEntries) {
          body += (body.empty() ? "" : ",") + entry;
        }
      }
      body = "{\"Instances\":[" + body + "],\"Next\":null}";
      if (!sendAll(aSocket, answerText(200, "Content-Type: application/json\r\n", body))) {
        return;
      }
    }
  }
  std::mutex mMutex;
  std::map<std::string, std::string> mEntries;
  Server mServer;
};

inline std::string
entryText(const std::string& aId,
          const std::string& aService,
          const std::string& aEndpoint,
          const std::string& aZone,
          const std::string& aState,
          int aSlots)
{
  return "{\"Service\":\"" + aService + "\",\"Address\":\"" + aEndpoint + "\",\"Zone\":\"" + aZone +
         "\",\"Version\":\"v1\",\"Slots\":" + std::to_string(aSlots) + ",\"State\":\"" + aState +
         "\",\"ColdRemainingMs\":0,\"Id\":\"" + aId + "\"}";
}

/// Ports that nobody listens at, on any loopback address.
inline int
freePortBlock(int aCount)
{
  for (int base = 21000 + static_cast<int>(::getpid() % 5000); base < 60000; base += aCount) {
    bool free = true;
    for (int port = base; port < base + aCount && free; ++port) {
      const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      auto name = address("0.0.0.0", port);
      free = ::bind(probe, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0;
      ::close(probe);
    }
    if (free) {
      return base;
    }
  }
  std::exit(2);
}

/// One process of the system on one machine.
struct Process
{
  std::string name;
  std::string nodeFile;
  std::string log;
  pid_t pid = -1;
};

/// A small deployment: three machines with a disk in three zones, each with a router and a controller.
class Fleet
{
public:
  Fleet(const std::string& aRoot, const std::string& aFolder, const std::string& aPlatform, int aMemoryMb = 260)
    : mRoot(aRoot)
    , mFolder(aFolder)
    , mPlatform(aPlatform)
    , mMemoryMb(aMemoryMb)
    , mPorts(freePortBlock(24))
  {
    for (int machine = 0; machine < 3; ++machine) {
      add(machine, "router");
      add(machine, "controller");
    }
  }
  ~Fleet()
  {
    for (auto& each : mProcesses) {
      kill(each, SIGKILL);
    }
  }

  static std::string ip(int aMachine) { return "127.77." + std::to_string(aMachine + 1) + ".1"; }
  static std::string zone(int aMachine) { return std::string("zone-") + static_cast<char>('a' + aMachine); }
  int frontPort() const { return mPorts + 18; }
  int readyPort() const { return mPorts + 17; }
  int controlPort() const { return mPorts + 19; }
  Process& process(int aMachine, const std::string& aRole)
  {
    return mProcesses[static_cast<std::size_t>(2 * aMachine + (aRole == "router" ? 0 : 1))];
  }

  void start(Process& aProcess)
  {
    // The command of the deploy file: target/rhubarbarchd --platform, started in the repository's root.
    aProcess.pid = ::fork();
    if (aProcess.pid == 0) {
      // A script that is ended from outside leaves no process behind.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = ::open(aProcess.log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::setenv("RHUBARBARCH_NODE_FILE", aProcess.nodeFile.c_str(), 1);
      if (::chdir(mRoot.c_str()) == 0) {
        ::execl("target/rhubarbarchd", "target/rhubarbarchd", "--platform", nullptr);
      }
      ::_exit(127);
    }
    record("process " + aProcess.name + " started, pid " + std::to_string(aProcess.pid));
  }

  void startAll()
  {
    for (auto& each : mProcesses) {
      start(each);
    }
  }

  void kill(Process& aProcess, int aSignal)
  {
    if (aProcess.pid > 0) {
      ::kill(aProcess.pid, aSignal);
      if (aSignal == SIGKILL) {
        ::waitpid(aProcess.pid, nullptr, 0);
        aProcess.pid = -1;
      }
    }
  }

  /// @return the status of a process that has ended by itself; -1 while it runs
  int ended(Process& aProcess)
  {
    int status = 0;
    if (aProcess.pid > 0 && ::waitpid(aProcess.pid, &status, WNOHANG) == aProcess.pid) {
      aProcess.pid = -1;
      return status;
    }
    return -1;
  }

private:
  void add(int aMachine, const std::string& aRole)
  {
    Process process;
    process.name = aRole + "-" + std::to_string(aMachine + 1);
    process.nodeFile = mFolder + "/" + process.name + ".json";
    process.log = mFolder + "/" + process.name + ".log";
    const auto data = mFolder + "/" + process.name + ".data";
    ::mkdir(data.c_str(), 0700);
    std::ofstream file(process.nodeFile);
    const auto here = ip(aMachine);
    const bool router = aRole == "router";
    file << "{\"Node\":\"front-" << zone(aMachine) << "-1\",\"Role\":\"" << aRole
         << "\",\"MachineClass\":\"front\",\"Serves\":[\"" << (router ? "front" : "control") << "\"],\"Ip\":\"" << here
         << "\",\"Zone\":\"" << zone(aMachine)
         << "\",\"Region\":\"r\",\"Zones\":{\"zone-a\":\"r\",\"zone-b\":\"r\",\"zone-c\":\"r\"},\"Listen\":{";
    if (router) {
      file << "\"Front\":\"" << here << ":" << frontPort() << "\",\"Ready\":\"" << here << ":" << readyPort() << "\"";
    } else {
      file << "\"Control\":\"" << here << ":" << controlPort() << "\"";
    }
    file << "},\"PortRange\":[" << mPorts << "," << mPorts + 15 << "],\"Seeds\":[";
    for (int each = 0; each < 3; ++each) {
      file << (each > 0 ? "," : "") << "\"" << ip(each) << ":" << controlPort() << "\"";
    }
    file << "],\"Bootstrap\":true,\"CountsAsLoss\":true,\"Limits\":{\"CpuShare\":0.45,\"Cores\":1,\"MemoryMb\":"
         << mMemoryMb << ",\"MaxFds\":4100,\"LinkMbps\":1000.0,\"DiskMb\":64},";
    if (!router) {
      file << "\"DataDir\":\"" << data << "\",";
    }
    file
      << "\"Discovery\":\"cloud\",\"Entry\":\"vip\",\"HeartbeatMs\":1200,\"Contracts\":[\"base\",\"drain\",\"config\","
         "\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"rollout\",\"pressure\"],"
         "\"Tolerate\":{\"Machines\":1,\"Zones\":0,\"Regions\":0},"
         "\"Bounds\":{\"SeedLagS\":3,\"ReuseAfterS\":2,\"ContactWindowMs\":3000,\"AckMs\":4000,\"CatchUpS\":4,"
         "\"DrainMs\":3000,\"GraceS\":8,\"LostMs\":200,\"ConfigMs\":2000,\"RollbackSlackMs\":250,"
         "\"MaxStretchMs\":5000,\"StrictRevocation\":false,\"RevokeMs\":5000,\"RetryBudgetRatio\":0.2,"
         "\"BudgetWindowS\":10,\"RetryBudgetSlack\":60,\"ExposureShare\":0.1,\"ExposureSlack\":50,\"RollbackMs\":5000,"
         "\"RecoverS\":12,\"PassMs\":120,\"ReuseWindowS\":8.5,\"settle_ms\":1500},\"ConfigMode\":\"highest\","
         "\"Cloud\":{\"Address\":\""
      << mPlatform << "\",\"RatePerS\":42.0,\"Duties\":[],\"LagMs\":800}}\n";
    mProcesses.push_back(process);
  }

  std::string mRoot;
  std::string mFolder;
  std::string mPlatform;
  int mMemoryMb;
  int mPorts;
  std::vector<Process> mProcesses;
};

inline int
connectTo(const std::string& aIp, int aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  auto name = address(aIp, aPort);
  if (::connect(socket, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0) {
    ::close(socket);
    return -1;
  }
  return socket;
}

/// One request on a new connection. @return the status; 0 when no whole answer came
inline int
call(const std::string& aIp, int aPort, const std::string& aText, Message& aAnswer, long aMs)
{
  const int socket = connectTo(aIp, aPort);
  if (socket < 0) {
    return 0;
  }
  std::string buffer;
  const bool whole = sendAll(socket, aText) && readMessage(socket, buffer, aAnswer, aMs) == Read::kWhole;
  ::close(socket);
  return whole ? aAnswer.status() : 0;
}

inline std::string
requestText(const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aFields,
            const std::string& aBody)
{
  return aMethod + " " + aTarget + " HTTP/1.1\r\n" + aFields + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

/// The operator: sends a configuration to one node after the other until it is acknowledged.
inline bool
putConfig(const Fleet& aFleet, const std::string& aBody, long aMs)
{
  const auto until = ms() + aMs;
  for (int machine = 0; ms() < until; ++machine) {
    Message answer;
    const auto text = requestText("PUT", "/-/config", "Host: control\r\nContent-Type: application/json\r\n", aBody);
    int status = call(Fleet::ip(machine % 3), aFleet.controlPort(), text, answer, 1000);
    for (int hop = 0; status == 307 && hop < 2; ++hop) {
      const auto location = answer.field("location");
      const auto host = location.substr(7, location.find(':', 7) - 7);
      status = call(host, aFleet.controlPort(), text, answer, 1000);
    }
    if (status == 200) {
      record("operator: configuration acknowledged: " + aBody.substr(0, 60));
      return true;
    }
    if (status >= 400 && status < 500) {
      record("operator: configuration refused with " + std::to_string(status) + " " + answer.body);
      return false;
    }
    rest(100);
  }
  return false;
}

inline bool
ready(const Fleet& aFleet, int aMachine)
{
  Message answer;
  return call(Fleet::ip(aMachine), aFleet.readyPort(), "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", answer, 1000) == 200;
}

inline bool
awaitReady(const Fleet& aFleet, long aMs)
{
  const auto until = ms() + aMs;
  while (ms() < until) {
    if (ready(aFleet, 0) && ready(aFleet, 1) && ready(aFleet, 2)) {
      return true;
    }
    rest(100);
  }
  return false;
}

inline std::string
numbered(const std::string& aPrefix, long aNumber)
{
  char text[64];
  std::snprintf(text, sizeof(text), "%s%08lx", aPrefix.c_str(), aNumber);
  return text;
}

} // namespace stand
