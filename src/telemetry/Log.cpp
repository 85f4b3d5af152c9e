#include "src/telemetry/Log.h"

#include <algorithm>
#include <atomic>
#include <memory>

#include <unistd.h>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include "src/core/admission/TokenBucket.h"
#include "src/core/base/EnumText.h"
#include "src/telemetry/BoundedOutput.h"

namespace foxtailbarrow {

namespace {

constexpr EnumText<LogLevel, 4> kLevels({
  { LogLevel::Error, "error" },
  { LogLevel::Warn, "warn" },
  { LogLevel::Info, "info" },
  { LogLevel::Debug, "debug" },
});

constexpr char kPattern[] =
  "time=%d{yyyy-MM-ddTHH:mm:ss.SSS}{UTC}Z level=%p %m%n";

log4cxx::LevelPtr NativeLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Error:
      return log4cxx::Level::getError();
    case LogLevel::Warn:
      return log4cxx::Level::getWarn();
    case LogLevel::Info:
      return log4cxx::Level::getInfo();
    case LogLevel::Debug:
      return log4cxx::Level::getDebug();
  }
  return log4cxx::Level::getInfo();
}

log4cxx::LoggerPtr MakeLogger()
{
  log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("foxtailbarrow");
  logger->setAdditivity(false);
  logger->setLevel(log4cxx::Level::getOff());
  return logger;
}

const log4cxx::LoggerPtr& Logger()
{
  // Never destroyed: fibers may still log during static destruction.
  static const auto* sLogger = new log4cxx::LoggerPtr(MakeLogger());
  return *sLogger;
}

std::atomic<std::uint64_t> sDroppedByRate{ 0 };

/// Never destroyed, like the logger.
BoundedOutput& Output()
{
  static auto* sOutput = new BoundedOutput(STDOUT_FILENO);
  return *sOutput;
}

/// Appender that writes to BoundedOutput. log4cxx calls appenders under a lock.
class BoundedAppender final : public log4cxx::AppenderSkeleton
{
public:
  explicit BoundedAppender(const log4cxx::LayoutPtr& aLayout)
  {
    setLayout(aLayout);
  }

  // NOLINTBEGIN(readability-identifier-naming): names defined by log4cxx.
  void close() override {}
  bool requiresLayout() const override { return true; }

protected:
  void append(const log4cxx::spi::LoggingEventPtr& aEvent,
              log4cxx::helpers::Pool& aPool) override
  {
    if (mBudget.TryTake(MonotonicNow(), kLineLimit)) {
      sDroppedByRate.fetch_add(1);
      return;
    }
    log4cxx::LogString line;
    getLayout()->format(line, aEvent, aPool);
    Output().Write(line);
  }
  // NOLINTEND(readability-identifier-naming)

private:
  static constexpr BucketLimit kLineLimit{ static_cast<double>(
                                             kMaxLogLinesPerSecond),
                                           kMaxLogLinesPerSecond };

  TokenBucket mBudget;
};

constexpr std::string_view kPlainMarks = "-_.:/,+@%";

bool IsPlainWord(std::string_view aText)
{
  return !aText.empty() && std::ranges::all_of(aText, [](char aCharacter) {
    return absl::ascii_isalnum(static_cast<unsigned char>(aCharacter)) ||
           kPlainMarks.find(aCharacter) != std::string_view::npos;
  });
}

void AppendValue(std::string& aLine, std::string_view aValue)
{
  if (IsPlainWord(aValue)) {
    aLine.append(aValue);
    return;
  }
  aLine.push_back('"');
  aLine.append(
    absl::Utf8SafeCEscape(absl::string_view(aValue.data(), aValue.size())));
  aLine.push_back('"');
}

void Write(LogLevel aLevel, std::string_view aEvent, LogFields aFields)
{
  const log4cxx::LoggerPtr& logger = Logger();
  if (const log4cxx::LevelPtr level = NativeLevel(aLevel);
      logger->isEnabledFor(level)) {
    logger->forcedLog(level, FormatLogLine(aEvent, aFields));
  }
}

} // namespace

std::string_view ToString(LogLevel aLevel)
{
  return kLevels.Text(aLevel);
}

std::optional<LogLevel> ParseLogLevel(std::string_view aText)
{
  return kLevels.Parse(aText);
}

std::string FormatLogLine(std::string_view aEvent, LogFields aFields)
{
  std::string line = "event=";
  AppendValue(line, aEvent);
  for (const LogField& field : aFields) {
    line.append(" ").append(field.mKey).append("=");
    AppendValue(line, field.mValue);
  }
  return line;
}

void ConfigureLog(LogLevel aLevel, LogTarget aTarget)
{
  const auto layout = std::make_shared<log4cxx::PatternLayout>(kPattern);
  log4cxx::AppenderPtr appender;
  if (aTarget == LogTarget::StandardOutput) {
    appender = std::make_shared<BoundedAppender>(layout);
  } else {
    appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  }
  Logger()->removeAllAppenders();
  Logger()->addAppender(appender);
  Logger()->setLevel(NativeLevel(aLevel));
}

void FlushLog()
{
  Output().Flush();
}

std::uint64_t DroppedLogLines()
{
  return sDroppedByRate.load() + Output().Dropped();
}

void LogChange(std::string_view aEvent, LogFields aFields)
{
  Write(LogLevel::Info, aEvent, aFields);
}

void LogWarning(std::string_view aEvent, LogFields aFields)
{
  Write(LogLevel::Warn, aEvent, aFields);
}

void LogError(std::string_view aEvent, LogFields aFields)
{
  Write(LogLevel::Error, aEvent, aFields);
}

void LogDebug(std::string_view aEvent, LogFields aFields)
{
  Write(LogLevel::Debug, aEvent, aFields);
}

} // namespace foxtailbarrow
