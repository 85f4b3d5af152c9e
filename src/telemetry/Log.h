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

/// One `key=value` of a log line. The value is quoted and escaped when it is
/// not a plain word, so that a line is always one line.
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
  /// Through BoundedOutput: never blocks, and drops and counts lines above the
  /// bounds of its buffer and of kMaxLogLinesPerSecond.
  StandardOutput,
};

/// Of one process; a second's worth more may come in a burst.
inline constexpr std::int64_t kMaxLogLinesPerSecond = 1500;

/// Sends lines of `aLevel` and above to the target. Call once, before the
/// first line; lines before it are dropped.
void ConfigureLog(LogLevel aLevel,
                  LogTarget aTarget = LogTarget::StandardError);

/// Waits, for a bounded time, until the lines so far are written.
void FlushLog();

/// Lines that were dropped because of the bounds.
std::uint64_t DroppedLogLines();

/// A change of state at level Info, for example
/// LogChange("agent-draining", { { "agent", id } }). Not for what happens with
/// every request: that is a counter.
void LogChange(std::string_view aEvent, LogFields aFields = {});

/// A change of state that an operator should look at.
void LogWarning(std::string_view aEvent, LogFields aFields = {});

/// A fault that the process does not mend by itself.
void LogError(std::string_view aEvent, LogFields aFields = {});

void LogDebug(std::string_view aEvent, LogFields aFields = {});

/// The text of a line after its time and level. Exposed for tests.
std::string FormatLogLine(std::string_view aEvent, LogFields aFields);

} // namespace foxtailbarrow
