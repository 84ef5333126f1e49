#include "rhubarbarch/net/log_writer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::net;

namespace {

/// Takes what a writer puts out.
struct Output
{
  void add(const std::string& aText)
  {
    const std::scoped_lock lock(mutex);
    texts.push_back(aText);
  }

  std::vector<std::string> lines()
  {
    const std::scoped_lock lock(mutex);
    std::vector<std::string> lines;
    for (const auto& text : texts) {
      std::istringstream stream(text);
      for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
      }
    }
    return lines;
  }

  std::mutex mutex;
  std::vector<std::string> texts;
};

} // namespace

TEST_GROUP(LogBatches)
{
  Output output;
  std::unique_ptr<LogWriter> log;

  void setup() override
  {
    log = std::make_unique<LogWriter>("g1", [this](const std::string& aText) { output.add(aText); });
  }

  void teardown() override
  {
    log.reset();
  }
};

// Guards against a wake-up of the writer and a system call for each line of a busy process.
TEST(LogBatches, writesLinesThatComeTogetherAsOneText)
{
  constexpr std::size_t kLines = 50;
  for (std::size_t line = 0; line < kLines; ++line) {
    log->write({ Severity::kInfo, "answered", { { "line", line } } });
  }
  log.reset();
  const auto lines = output.lines();
  CHECK_EQUAL(kLines, lines.size());
  for (std::size_t line = 0; line < kLines; ++line) {
    CHECK_EQUAL(line, nlohmann::json::parse(lines[line]).at("line").get<std::size_t>());
  }
  CHECK(output.texts.size() <= 2);
}

// Guards against lines of several threads that wait in the ring until the next one comes, or are lost.
TEST(LogBatches, losesNoLineBetweenBatches)
{
  constexpr std::size_t kThreads = 4;
  constexpr std::size_t kLines = 200;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (std::size_t thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([this] {
      for (std::size_t line = 0; line < kLines; ++line) {
        log->write({ line % 2 == 0 ? Severity::kInfo : Severity::kWarning, "event", {} });
        std::this_thread::sleep_for(std::chrono::microseconds(300));
      }
    });
  }
  std::ranges::for_each(threads, &std::thread::join);
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (output.lines().size() < kThreads * kLines && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  CHECK_EQUAL(kThreads * kLines, output.lines().size());
}

// Guards against long lines that glog would cut in the middle.
TEST(LogBatches, keepsLongLinesWhole)
{
  const std::string detail(10'000, 'd');
  for (int line = 0; line < 5; ++line) {
    log->write({ Severity::kInfo, "event", { { "detail", detail } } });
  }
  log.reset();
  const auto lines = output.lines();
  CHECK_EQUAL(5U, lines.size());
  CHECK(
    std::ranges::all_of(lines, [&](const auto& aLine) { return nlohmann::json::parse(aLine).at("detail") == detail; }));
}
