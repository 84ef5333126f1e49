#include "daemon.h"

#include "../../platform/node_file.h"

#include "rhubarbarch/net/log_writer.h"
#include "rhubarbarch/settings/settings.h"

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <csignal>
#include <cstdio>
#include <iostream>

DEFINE_string(settings, "", "YAML settings file of this process");
DEFINE_bool(platform, false, "take the settings from the file that the users' platform names in the environment");
DEFINE_bool(check, false, "only check the settings file and exit");

namespace {

constexpr const char* kVersion = "0.1.0";

using rhubarbarch::daemon::Daemon;
using Reload = rhubarbarch::Result<rhubarbarch::settings::Settings> (*)();

void
writeToStandardOutput(const std::string& aLine)
{
  const auto line = aLine + "\n";
  std::fwrite(line.data(), 1, line.size(), stdout);
  std::fflush(stdout);
}

int
serve(const rhubarbarch::settings::Settings& aSettings)
{
  rhubarbarch::net::LogWriter log(aSettings.instance, writeToStandardOutput);
  Daemon daemon(aSettings, log, FLAGS_platform ? rhubarbarch::platform::loadNodeFile : Reload{});
  const auto opened = daemon.open();
  if (!opened) {
    log.write({ rhubarbarch::Severity::kError, "cannot_open", { { "detail", opened.error().detail } } });
    return rhubarbarch::daemon::kCannotOpen;
  }
  return daemon.run();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("--settings FILE [--check] | --platform");
  gflags::SetVersionString(kVersion);
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  const auto settings =
    FLAGS_platform ? rhubarbarch::platform::loadNodeFile() : rhubarbarch::settings::loadSettings(FLAGS_settings);
  if (!settings) {
    std::cerr << "rhubarbarchd: " << settings.error().detail << "\n";
    return rhubarbarch::daemon::kBadSettings;
  }
  if (FLAGS_check) {
    return rhubarbarch::daemon::kClean;
  }
  google::InitGoogleLogging(aArguments[0]);
  // A closed pipe or socket is reported by the write that fails.
  std::signal(SIGPIPE, SIG_IGN);
  return serve(settings.value());
}
