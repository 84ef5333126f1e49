#pragma once

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rhubarbarch::testing {

/// Longest wait for any condition; generous, since nothing asserts on timing.
inline constexpr std::chrono::seconds kWaitLimit{ 30 };

/// Checks a condition again and again until it holds.
/// @return false when it did not hold within the limit
/// Usage: `if (!waitUntil([&] { return ready(); })) { ... }`.
inline bool
waitUntil(const std::function<bool()>& aCondition)
{
  constexpr std::chrono::milliseconds kPollPeriod{ 20 };
  const auto limit = std::chrono::steady_clock::now() + kWaitLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= limit) {
      return false;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return true;
}

/// Folder of the programs under test, which is the folder of this test program.
inline std::filesystem::path
programFolder()
{
  return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

/// Free ports on 127.0.0.1, all different. They are held until all are known.
inline std::vector<std::uint16_t>
freePorts(std::size_t aCount)
{
  std::vector<int> sockets;
  std::vector<std::uint16_t> ports;
  while (ports.size() < aCount) {
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (handle < 0 || ::bind(handle, generic, size) != 0 || ::getsockname(handle, generic, &size) != 0) {
      throw std::runtime_error("no free port on 127.0.0.1");
    }
    sockets.push_back(handle);
    ports.push_back(ntohs(address.sin_port));
  }
  std::ranges::for_each(sockets, [](int aHandle) { ::close(aHandle); });
  return ports;
}

/// One process started by a test. It is killed and waited for when the object ends, also when a check fails.
class ChildProcess
{
public:
  /// @param aArguments program and its arguments
  /// @param aLog file that gets standard output and standard error, after what it holds already
  ChildProcess(std::vector<std::string> aArguments, std::filesystem::path aLog)
    : mArguments(std::move(aArguments))
    , mLog(std::move(aLog))
  {
    start();
  }

  ~ChildProcess() { end(SIGKILL); }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ChildProcess(ChildProcess&&) = delete;
  ChildProcess& operator=(ChildProcess&&) = delete;

  /// Starts the program again after it has ended.
  void start()
  {
    end(SIGKILL);
    std::vector<char*> arguments;
    std::ranges::for_each(mArguments, [&](std::string& aText) { arguments.push_back(aText.data()); });
    arguments.push_back(nullptr);
    const int log = ::open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t parent = ::getpid();
    mPid = ::fork();
    if (mPid == 0) {
      // The test program may be killed itself, for example by a time limit.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      // A write beyond the limit of refuseWrites() fails instead of ending the process.
      ::signal(SIGXFSZ, SIG_IGN); // NOLINT(cert-err33-c)
      if (log < 0 || ::getppid() != parent || ::dup2(log, STDOUT_FILENO) < 0 || ::dup2(log, STDERR_FILENO) < 0) {
        ::_exit(126);
      }
      ::execv(arguments.front(), arguments.data());
      ::_exit(127);
    }
    ::close(log);
    if (mPid < 0) {
      throw std::runtime_error("cannot start " + mArguments.front());
    }
  }

  void signal(int aSignal) const
  {
    if (mPid > 0) {
      ::kill(mPid, aSignal);
    }
  }

  /// Sends a signal and waits for the end.
  void end(int aSignal)
  {
    if (mPid > 0) {
      ::kill(mPid, aSignal);
      int status = 0;
      ::waitpid(mPid, &status, 0);
      mPid = -1;
    }
  }

  /// Waits for the process to end by itself.
  /// @return its exit code; -1 when a signal ended it or it did not end within the limit
  int exitCode()
  {
    int status = 0;
    if (mPid <= 0 || !waitUntil([&] { return ::waitpid(mPid, &status, WNOHANG) == mPid; })) {
      return -1;
    }
    mPid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

  /// Makes all writes of the process to files fail, as on a full disk, or lets them succeed again.
  void refuseWrites(bool aRefuse) const
  {
    const rlimit limit{ aRefuse ? 0 : RLIM_INFINITY, RLIM_INFINITY };
    if (::prlimit(mPid, RLIMIT_FSIZE, &limit, nullptr) != 0) {
      throw std::runtime_error("cannot limit the files of a process");
    }
  }

  bool running() const noexcept { return mPid > 0; }
  pid_t pid() const noexcept { return mPid; }

  /// The last lines of the log, for messages of failed checks.
  std::string logTail() const
  {
    constexpr std::size_t kLines = 25;
    std::ifstream file(mLog);
    std::vector<std::string> lines;
    for (std::string line; std::getline(file, line);) {
      lines.push_back(std::move(line));
    }
    std::string tail = "--- " + mLog.filename().string() + "\n";
    for (auto i = lines.size() - std::min(lines.size(), kLines); i < lines.size(); ++i) {
      tail += lines[i] + "\n";
    }
    return tail;
  }

private:
  std::vector<std::string> mArguments;
  std::filesystem::path mLog;
  pid_t mPid = -1;
};

} // namespace rhubarbarch::testing
