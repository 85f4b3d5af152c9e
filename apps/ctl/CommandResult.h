#pragma once

#include <string>
#include <string_view>

#include "absl/status/status.h"
#include <json/value.h>

namespace foxtailbarrow::ctl {

/// Exit codes of the program. kExitUsage (2) is that of every program's bad
/// settings.
inline constexpr int kExitOk = 0;
inline constexpr int kExitRefused = 1; ///< Refused, lost a race, not found.
inline constexpr int kExitBadUsage = 2;
inline constexpr int kExitUnreachable = 3; ///< No answer, or none to trust.

/// What a command leaves behind: an exit code and its answer in both forms.
struct CommandResult
{
  int mExitCode = kExitOk;
  std::string mText; ///< For people. Errors go to standard error.
  Json::Value mJson; ///< For programs, with --json.
};

CommandResult Succeed(std::string aText, Json::Value aJson);

/// `aText` tells what was refused and why.
CommandResult Fail(int aExitCode, std::string aText);

/// An error of the store or of a call: unreachable unless the status says that
/// the other side refused. The text says whether it may have taken effect.
CommandResult Fail(std::string_view aWhat, const absl::Status& aStatus);

} // namespace foxtailbarrow::ctl
