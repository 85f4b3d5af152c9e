#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "absl/status/status.h"

namespace foxtailbarrow {

/// Whether a request, a task start or a store write may have taken effect.
/// Attached to every error and passed through every process to the caller.
enum class Verdict : std::uint8_t
{
  NotRun,     ///< It did not run and never will: safe to retry elsewhere.
  MayHaveRun, ///< It may have run: only idempotent work may be retried.
  Ran,        ///< It ran and its result is known.
};

/// Wire name: `not-run`, `may-have-run` or `ran`.
std::string_view ToString(Verdict aVerdict);

/// Reverse of ToString(); nullopt for any other text.
std::optional<Verdict> ParseVerdict(std::string_view aText);

/// Attaches a verdict to an error. No effect on an OK status.
absl::Status WithVerdict(absl::Status aStatus, Verdict aVerdict);

/// The verdict attached to an error; MayHaveRun if there is none, since an
/// unknown effect must be assumed possible. Ran for an OK status.
Verdict VerdictOf(const absl::Status& aStatus);

} // namespace foxtailbarrow
