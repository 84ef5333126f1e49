#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/base/log_line.h"
#include "rhubarbarch/base/metric.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace rhubarbarch::net {

/// One JSON object per line: time, severity, instance, event and the fields of the line.
std::string
formatLogLine(const LogLine& aLine, const InstanceId& aInstance, std::int64_t aUnixMicroseconds);

/// Writes log lines through glog from a thread of its own. Lines that other code logs with glog become JSON lines too.
/// Lines are written some 20 ms after they were queued, together with those that came meanwhile.
///
/// When its ring is full, lines are dropped and counted, and a `log_lines_dropped` line tells how many: a full disk or
/// a blocked terminal must not stop the roles.
///
/// Usage: `LogWriter log("entry-1"); log.write({Severity::kInfo, "started", {}});`
class LogWriter
{
public:
  /// @param aOutput gets finished lines with line breaks between them, none at the end; standard error when empty
  explicit LogWriter(InstanceId aInstance, std::function<void(const std::string&)> aOutput = {});
  /// Writes what is still queued.
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Queues a line; callable from any thread, never blocks.
  void write(const LogLine& aLine);
  /// Process figures; callable from any thread.
  Metrics metrics() const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace rhubarbarch::net
