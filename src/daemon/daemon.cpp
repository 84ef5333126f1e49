#include "daemon.h"

#include "control_part.h"
#include "memory_watch.h"
#include "operator_part.h"
#include "parts.h"
#include "peer_part.h"
#include "role_options.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iterator>
#include <random>
#include <vector>

namespace rhubarbarch::daemon {

namespace {

// How often the last steps of a shutdown look whether all bytes have left.
constexpr Duration kFlushCheck{ 10 };
// Longest wait for the last messages to peers; they are repeated by others where they matter.
constexpr Duration kPeerFlushLimit{ 1000 };
// The settings file may change without a signal; what it names lags by seconds itself.
constexpr Duration kReloadPeriod{ 3000 };
// A process that is flooded over its links fills the rest of a small machine's memory within a second.
constexpr Duration kMemoryCheckPeriod{ 100 };
constexpr std::size_t kBytesPerMb = std::size_t{ 1024 } * 1024;

Boot
drawBoot()
{
  std::random_device random;
  return static_cast<Boot>(std::uniform_int_distribution<std::uint64_t>()(random));
}

} // namespace

struct Daemon::State
{
  State(settings::Settings aSettings, net::LogWriter& aLog, std::function<Result<settings::Settings>()> aReload)
    : settings(std::move(aSettings))
    , reload(std::move(aReload))
    , log(aLog)
    , dispatcher(settings.instance)
    , process{ settings,
               log,
               dispatcher,
               drawBoot(),
               {},
               [this](Role aRole) { boost::asio::post(main, [this, aRole] { stopped(aRole); }); },
               [this] {
                 if (control) {
                   control->readUpstreams();
                 }
               },
               std::make_shared<net::MemoryAccount>(callerMemory(settings)) }
  {
  }

  ~State() { stopThreads(); }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  Result<void> open()
  {
    peers = std::make_unique<PeerPart>(process);
    BOOST_OUTCOME_TRY(peers->listen());
    process.endpoint = peers->endpoint();
    operators = std::make_unique<OperatorPart>(process, [this] { return ready(); }, [this] { return metrics(); });
    BOOST_OUTCOME_TRY(operators->listen());
    if (settings.controllerSettings.control.port != 0) {
      control = std::make_unique<ControlPart>(process);
      BOOST_OUTCOME_TRY(control->listen());
    }
    // In the order of their graceful shutdown.
    if (settings.gateway) {
      BOOST_OUTCOME_TRY(add(makeGatewayPart(process)));
    }
    if (settings.router) {
      BOOST_OUTCOME_TRY(add(makeRouterPart(process)));
    }
    if (settings.agent) {
      parts.push_back(makeAgentPart(process));
    }
    if (settings.relay) {
      parts.push_back(makeRelayPart(process));
    }
    if (settings.controller) {
      // One of the two interfaces is served; the ids of their requests are not told apart.
      auto reply = [this](controller::OperatorReply&& aReply) {
        if (control) {
          control->reply(std::move(aReply));
        } else {
          operators->reply(std::move(aReply));
        }
      };
      BOOST_OUTCOME_TRY(add(makeControllerPart(process, std::move(reply))));
    }
    return boost::outcome_v2::success();
  }

  Result<void> add(Result<std::unique_ptr<RolePart>> aPart)
  {
    if (!aPart) {
      return aPart.error();
    }
    parts.push_back(std::move(aPart.value()));
    return boost::outcome_v2::success();
  }

  ExitCode run()
  {
    std::ranges::transform(settings.controllers, std::back_inserter(contacts), &settings::ControllerPeer::instance);
    awaitSignal();
    awaitHangUp();
    awaitReload();
    awaitMemoryCheck();
    dispatcher.introduceRoles(kFromMain);
    log.write({ Severity::kInfo, "started", { { "boot", toNumber(process.boot) } } });
    operators->start();
    if (control) {
      control->start();
    }
    peers->start();
    std::ranges::for_each(parts, [](const auto& aPart) { aPart->start(); });
    main.run();
    stopThreads();
    log.write({ Severity::kInfo, "stopped", { { "exit_code", static_cast<int>(exitCode) } } });
    return exitCode;
  }

  void awaitSignal()
  {
    signals.async_wait([this](const boost::system::error_code& aError, int aSignal) {
      if (aError) {
        return;
      }
      log.write({ Severity::kInfo, "signal", { { "number", aSignal } } });
      if (stopping.exchange(true)) {
        finish(kFailed);
        return;
      }
      deadline.expires_after(settings.shutdownTimeout);
      deadline.async_wait([this](const boost::system::error_code& aExpired) {
        if (!aExpired) {
          log.write({ Severity::kError, "shutdown_timeout", {} });
          finish(kFailed);
        }
      });
      shutdownNext();
      awaitSignal();
    });
  }

  // Without a handler the signal would end the process.
  void awaitHangUp()
  {
    hangUps.async_wait([this](const boost::system::error_code& aError, int /*aSignal*/) {
      if (!aError) {
        log.write({ Severity::kInfo, "settings_signal", {} });
        readAgain();
        awaitHangUp();
      }
    });
  }

  void awaitReload()
  {
    if (!reload) {
      return;
    }
    reloadTimer.expires_after(kReloadPeriod);
    reloadTimer.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        readAgain();
        awaitReload();
      }
    });
  }

  void awaitMemoryCheck()
  {
    if (settings.memoryMb == 0) {
      return;
    }
    memoryTimer.expires_after(kMemoryCheckPeriod);
    memoryTimer.async_wait([this](const boost::system::error_code& aError) {
      if (aError) {
        return;
      }
      if (auto line = memoryWatch.check(residentBytes(), [this] { return metrics(); })) {
        log.write(*line);
      }
      awaitMemoryCheck();
    });
  }

  /// Only the first contacts may change while the process runs.
  void readAgain()
  {
    const auto read = reload ? reload() : Result<settings::Settings>(settings);
    if (!read) {
      log.write({ Severity::kWarning, "settings_not_read", { { "detail", read.error().detail } } });
      return;
    }
    std::vector<std::string> names;
    std::ranges::transform(read.value().controllers, std::back_inserter(names), &settings::ControllerPeer::instance);
    if (names == contacts) {
      return;
    }
    contacts = names;
    log.write({ Severity::kInfo, "contacts_changed", { { "controllers", names } } });
    std::ranges::for_each(parts, [&names](const auto& aPart) { aPart->contacts(names); });
    if (control) {
      control->contacts(names);
    }
  }

  // The parts stop one after the other, since each needs the later ones for its last exchanges.
  void shutdownNext()
  {
    if (next == parts.size()) {
      flushLimit = std::chrono::steady_clock::now() + kPeerFlushLimit;
      awaitPeersFlushed();
      return;
    }
    parts[next]->shutdown();
  }

  void stopped(Role aRole)
  {
    if (next < parts.size() && parts[next]->role() == aRole && stopping) {
      awaitFlushed();
    }
  }

  void awaitFlushed()
  {
    if (parts[next]->flushed()) {
      ++next;
      shutdownNext();
      return;
    }
    later([this] { awaitFlushed(); });
  }

  void awaitPeersFlushed()
  {
    if (peers->flushed() || std::chrono::steady_clock::now() > flushLimit) {
      finish(kClean);
      return;
    }
    later([this] { awaitPeersFlushed(); });
  }

  void later(std::function<void()> aTask)
  {
    flushTimer.expires_after(kFlushCheck);
    flushTimer.async_wait([task = std::move(aTask)](const boost::system::error_code& aError) {
      if (!aError) {
        task();
      }
    });
  }

  void finish(ExitCode aCode)
  {
    exitCode = aCode;
    main.stop();
  }

  // Threads end before any part is destroyed, because the parts use each other.
  void stopThreads()
  {
    std::ranges::for_each(parts, [](const auto& aPart) { aPart->stop(); });
    if (control) {
      control->stop();
    }
    if (operators) {
      operators->stop();
    }
    if (peers) {
      peers->stop();
    }
  }

  bool ready() const
  {
    return !stopping && std::ranges::all_of(parts, [](const auto& aPart) { return aPart->ready(); });
  }

  Metrics metrics() const
  {
    Metrics all{ { "rhubarbarch_ready", "", ready() ? 1.0 : 0.0 } };
    const auto add = [&all](Metrics aMetrics) { std::ranges::move(aMetrics, std::back_inserter(all)); };
    std::ranges::for_each(parts, [&](const auto& aPart) { add(aPart->metrics()); });
    add(peers->metrics());
    add(operators->metrics());
    add(log.metrics());
    add(process.memory->metrics());
    return all;
  }

  settings::Settings settings;
  std::function<Result<settings::Settings>()> reload;
  std::vector<std::string> contacts; ///< as last read
  net::LogWriter& log;
  RoleDispatcher dispatcher;
  boost::asio::io_context main{ 1 };
  boost::asio::signal_set signals{ main, SIGTERM, SIGINT };
  boost::asio::signal_set hangUps{ main, SIGHUP };
  boost::asio::steady_timer reloadTimer{ main };
  boost::asio::steady_timer memoryTimer{ main };
  MemoryWatch memoryWatch{ settings.memoryMb * kBytesPerMb };
  boost::asio::steady_timer deadline{ main };
  boost::asio::steady_timer flushTimer{ main };
  std::chrono::steady_clock::time_point flushLimit;
  std::atomic<bool> stopping{ false };
  std::size_t next = 0; ///< part whose shutdown is in progress
  ExitCode exitCode = kFailed;
  Process process;
  std::unique_ptr<PeerPart> peers;
  std::unique_ptr<OperatorPart> operators;
  std::unique_ptr<ControlPart> control; ///< null: not served
  std::vector<std::unique_ptr<RolePart>> parts;
};

Daemon::Daemon(settings::Settings aSettings, net::LogWriter& aLog, std::function<Result<settings::Settings>()> aReload)
  : mState(std::make_unique<State>(std::move(aSettings), aLog, std::move(aReload)))
{
}

Daemon::~Daemon() = default;

Result<void>
Daemon::open()
{
  return mState->open();
}

ExitCode
Daemon::run()
{
  return mState->run();
}

} // namespace rhubarbarch::daemon
