#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Id.h"

namespace foxtailbarrow {

enum class LogLevel : std::uint8_t
{
  Error,
  Warn,
  Info,
  Debug,
};

std::string_view ToString(LogLevel aLevel);
std::optional<LogLevel> ParseLogLevel(std::string_view aText);

/// A `key=value` pair of a log line. The value is quoted and escaped when it is
/// not a plain word, so that an entry never spans several lines.
struct LogField
{
  std::string_view mKey;
  std::string mValue;

  LogField(std::string_view aKey, std::string_view aValue)
    : mKey(aKey)
    , mValue(aValue)
  {
  }
  LogField(std::string_view aKey, const char* aValue)
    : LogField(aKey, std::string_view(aValue))
  {
  }
  LogField(std::string_view aKey, const std::string& aValue)
    : LogField(aKey, std::string_view(aValue))
  {
  }
  LogField(std::string_view aKey, const Endpoint& aValue)
    : LogField(aKey, ToString(aValue))
  {
  }
  template<typename Tag>
  LogField(std::string_view aKey, const Id<Tag>& aValue)
    : LogField(aKey, aValue.Value())
  {
  }
  template<typename Number>
  requires std::integral<Number> || std::floating_point<Number> LogField(
    std::string_view aKey,
    Number aValue)
    : LogField(aKey, std::to_string(aValue))
  {
  }
};

using LogFields = std::initializer_list<LogField>;

enum class LogTarget : std::uint8_t
{
  StandardError,
  /// Through BoundedOutput: never blocks; drops and counts lines that exceed
  /// its buffer or kMaxLogLinesPerSecond.
  StandardOutput,
};

/// Per process; a burst may have one second's worth in addition.
inline constexpr std::int64_t kMaxLogLinesPerSecond = 1500;

/// Sends lines of `aLevel` and above to the target. Call once, before the first
/// line; earlier lines are dropped.
void ConfigureLog(LogLevel aLevel,
                  LogTarget aTarget = LogTarget::StandardError);

/// Waits, for a bounded time, until all queued lines are written.
void FlushLog();

/// Number of lines dropped because of the buffer or the rate limit.
std::uint64_t DroppedLogLines();

/// Logs a change of state at level Info, for example
/// LogChange("agent-draining", { { "agent", id } }). Use a counter for events
/// that occur with every request.
void LogChange(std::string_view aEvent, LogFields aFields = {});

/// Logs a change of state that needs an operator's attention.
void LogWarning(std::string_view aEvent, LogFields aFields = {});

/// Logs a fault from which the process does not recover by itself.
void LogError(std::string_view aEvent, LogFields aFields = {});

void LogDebug(std::string_view aEvent, LogFields aFields = {});

/// The text of a line without time and level. Exposed for tests.
std::string FormatLogLine(std::string_view aEvent, LogFields aFields);

} // namespace foxtailbarrow
