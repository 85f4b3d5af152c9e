#pragma once

#include <string>
#include <string_view>

#include "absl/status/status.h"
#include <json/value.h>

namespace foxtailbarrow::ctl {

/// Exit codes of the program. kExitBadUsage equals kExitUsage, which every
/// program returns for invalid settings.
inline constexpr int kExitOk = 0;
inline constexpr int kExitRefused = 1; ///< Refused, lost a race, not found.
inline constexpr int kExitBadUsage = 2;
inline constexpr int kExitUnreachable = 3; ///< No response or an invalid one.

/// Result of a command: an exit code and the output in both forms.
struct CommandResult
{
  int mExitCode = kExitOk;
  std::string mText; ///< For people. Errors go to standard error.
  Json::Value mJson; ///< For programs, with --json.
};

CommandResult Succeed(std::string aText, Json::Value aJson);

/// `aText` states what failed and why.
CommandResult Fail(int aExitCode, std::string aText);

/// An error of the store or of a call: kExitRefused if the status is a refusal,
/// else kExitUnreachable. The text states whether it may have taken effect.
CommandResult Fail(std::string_view aWhat, const absl::Status& aStatus);

} // namespace foxtailbarrow::ctl
