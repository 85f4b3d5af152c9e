#include "src/telemetry/Log.h"

#include <algorithm>
#include <memory>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include "src/core/base/EnumText.h"

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
  // Never destroyed: fibers may still log while static objects are torn down.
  static const auto* sLogger = new log4cxx::LoggerPtr(MakeLogger());
  return *sLogger;
}

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

void ConfigureLog(LogLevel aLevel)
{
  const auto layout = std::make_shared<log4cxx::PatternLayout>(kPattern);
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
    layout, log4cxx::ConsoleAppender::getSystemErr());
  Logger()->removeAllAppenders();
  Logger()->addAppender(appender);
  Logger()->setLevel(NativeLevel(aLevel));
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
