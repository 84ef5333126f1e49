#include "rhubarbarch/net/log_writer.h"

#include <boost/lockfree/queue.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <semaphore>
#include <string_view>
#include <thread>
#include <utility>

namespace rhubarbarch::net {

namespace {

constexpr std::size_t kRingLines = 8192;
// Lines that come within this time are written together.
constexpr std::chrono::milliseconds kBatchTime{ 20 };
// glog cuts messages that are longer than 30,000 bytes.
constexpr std::size_t kBatchBytes = std::size_t{ 16 } * 1024;
// Starts the messages that are JSON lines already.
constexpr char kFinishedLine = '{';

const char*
severityName(Severity aSeverity)
{
  constexpr std::array<const char*, 3> kNames = { "info", "warning", "error" };
  return kNames[static_cast<std::size_t>(aSeverity)];
}

std::string
timeText(std::int64_t aUnixMicroseconds)
{
  constexpr std::int64_t kMicroseconds = 1'000'000;
  const auto seconds = static_cast<std::time_t>(aUnixMicroseconds / kMicroseconds);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 64> text{};
  const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  const auto micros = std::to_string(kMicroseconds + aUnixMicroseconds % kMicroseconds).substr(1);
  return std::string(text.data(), length) + "." + micros + "Z";
}

std::int64_t
unixMicroseconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

void
writeToStandardError(const std::string& aLine)
{
  const auto line = aLine + "\n";
  std::fwrite(line.data(), 1, line.size(), stderr);
}

Severity
fromGlog(google::LogSeverity aSeverity)
{
  if (aSeverity >= google::GLOG_ERROR) {
    return Severity::kError;
  }
  return aSeverity == google::GLOG_WARNING ? Severity::kWarning : Severity::kInfo;
}

} // namespace

std::string
formatLogLine(const LogLine& aLine, const InstanceId& aInstance, std::int64_t aUnixMicroseconds)
{
  nlohmann::ordered_json json;
  json["time"] = timeText(aUnixMicroseconds);
  json["severity"] = severityName(aLine.severity);
  json["instance"] = aInstance;
  json["event"] = aLine.event;
  if (aLine.fields.is_object()) {
    for (const auto& [key, value] : aLine.fields.items()) {
      // A field must not replace one of the four above.
      json.emplace(key, value);
    }
  }
  return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

struct LogWriter::State : google::LogSink
{
  State(InstanceId aInstance, std::function<void(const std::string&)> aOutput)
    : instance(std::move(aInstance))
    , output(aOutput ? std::move(aOutput) : writeToStandardError)
  {
    FLAGS_logtostderr = false;
    FLAGS_alsologtostderr = false;
    // Only the sink writes; nothing goes to files or, as plain text, to standard error.
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    for (int severity = google::GLOG_INFO; severity < google::NUM_SEVERITIES; ++severity) {
      google::SetLogDestination(severity, "");
    }
    google::AddLogSink(this);
    thread = std::thread([this] { run(); });
  }

  ~State() override
  {
    stopping = true;
    queued.release();
    thread.join();
    google::RemoveLogSink(this);
  }

  State(const State&) = delete;
  State& operator=(const State&) = delete;

  void send(google::LogSeverity aSeverity,
            const char* /*aFullFilename*/,
            const char* aFilename,
            int aLine,
            const google::LogMessageTime& /*aTime*/,
            const char* aMessage,
            std::size_t aLength) override
  {
    const std::string text(aMessage, aLength);
    if (!text.empty() && text.front() == kFinishedLine) {
      output(text);
      return;
    }
    const LogLine line{ fromGlog(aSeverity),
                        "library",
                        { { "message", text }, { "file", aFilename }, { "line", aLine } } };
    output(formatLogLine(line, instance, unixMicroseconds()));
  }

  void run()
  {
    bool ending = false;
    while (!ending) {
      queued.acquire();
      if (!stopping) {
        std::this_thread::sleep_for(kBatchTime);
      }
      // Before the lines are taken, so that a line that comes meanwhile wakes the thread again.
      while (queued.try_acquire()) {
      }
      ending = stopping;
      writeQueued();
    }
  }

  /// Passes on what is queued, as few long texts: glog and the output cost more for each text than for each byte.
  void writeQueued()
  {
    Queued* next = nullptr;
    std::string batch;
    auto severity = Severity::kInfo;
    while (ring.pop(next)) {
      const std::unique_ptr<Queued> line(next);
      if (!batch.empty() && (line->severity != severity || batch.size() + line->text.size() > kBatchBytes)) {
        pass(severity, std::exchange(batch, {}));
      }
      severity = line->severity;
      batch += batch.empty() ? "" : "\n";
      batch += line->text;
      ++written;
    }
    if (!batch.empty()) {
      pass(severity, batch);
    }
    if (const auto lost = dropped.exchange(0); lost > 0) {
      droppedTotal += lost;
      const LogLine line{ Severity::kWarning, "log_lines_dropped", { { "lines", lost } } };
      pass(line.severity, formatLogLine(line, instance, unixMicroseconds()));
      ++written;
    }
  }

  void pass(Severity aSeverity, const std::string& aText)
  {
    google::LogSink* sink = this;
    switch (aSeverity) {
      case Severity::kInfo:
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(sink, INFO) << aText;
        break;
      case Severity::kWarning:
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(sink, WARNING) << aText;
        break;
      case Severity::kError:
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(sink, ERROR) << aText;
        break;
    }
  }

  /// A finished line.
  struct Queued
  {
    Severity severity = Severity::kInfo;
    std::string text;
  };

  InstanceId instance;
  std::function<void(const std::string&)> output;
  boost::lockfree::queue<Queued*, boost::lockfree::capacity<kRingLines>> ring;
  std::counting_semaphore<> queued{ 0 };
  std::atomic<bool> stopping{ false };
  std::atomic<std::uint64_t> dropped{ 0 };
  std::atomic<std::uint64_t> droppedTotal{ 0 };
  std::atomic<std::uint64_t> written{ 0 };
  std::thread thread;
};

LogWriter::LogWriter(InstanceId aInstance, std::function<void(const std::string&)> aOutput)
  : mState(std::make_unique<State>(std::move(aInstance), std::move(aOutput)))
{
}

LogWriter::~LogWriter() = default;

void
LogWriter::write(const LogLine& aLine)
{
  auto text = formatLogLine(aLine, mState->instance, unixMicroseconds());
  auto line = std::make_unique<State::Queued>(State::Queued{ aLine.severity, std::move(text) });
  if (!mState->ring.bounded_push(line.get())) {
    ++mState->dropped;
    return;
  }
  // The ring owns the line now.
  [[maybe_unused]] const auto* queued = line.release();
  mState->queued.release();
}

Metrics
LogWriter::metrics() const
{
  return { { "rhubarbarch_log_lines_total", "", static_cast<double>(mState->written.load()) },
           { "rhubarbarch_log_lines_dropped_total", "", static_cast<double>(mState->droppedTotal.load()) } };
}

} // namespace rhubarbarch::net
