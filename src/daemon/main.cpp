#include "daemon.h"

#include "../../platform/node_file.h"

#include "rhubarbarch/net/log_writer.h"
#include "rhubarbarch/settings/settings.h"

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <malloc.h>

#include <csignal>
#include <cstdio>
#include <iostream>

DEFINE_string(settings, "", "YAML settings file of this process");
DEFINE_bool(platform, false, "take the settings from the file that the users' platform names in the environment");
DEFINE_bool(check, false, "only check the settings file and exit");

namespace {

constexpr const char* kVersion = "0.1.0";
/// Blocks from this size, such as bodies, are returned to the operating system when they are freed. Otherwise the
/// allocator raises the bound with each block that is freed, up to 32 MB, and keeps them.
constexpr int kReturnedBlockBytes = 128 * 1024;

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
  ::mallopt(M_MMAP_THRESHOLD, kReturnedBlockBytes);
  google::InitGoogleLogging(aArguments[0]);
  // A closed pipe or socket is reported by the write that fails.
  std::signal(SIGPIPE, SIG_IGN);
  return serve(settings.value());
}
