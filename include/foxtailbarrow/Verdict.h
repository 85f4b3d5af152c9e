#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "absl/status/status.h"

namespace foxtailbarrow {

/// Says whether a request, a task start or a store write may have taken effect.
/// Travels with every error through every process to the caller.
enum class Verdict : std::uint8_t
{
  NotRun,     ///< It did not run and never will: safe to try elsewhere.
  MayHaveRun, ///< It may have run: only idempotent work may be tried again.
  Ran,        ///< It ran and its result is known.
};

/// Name on the wire: `not-run`, `may-have-run` or `ran`.
std::string_view ToString(Verdict aVerdict);

/// Reverse of ToString(); nullopt for any other text.
std::optional<Verdict> ParseVerdict(std::string_view aText);

/// Attaches a verdict to an error. No effect on an OK status.
absl::Status WithVerdict(absl::Status aStatus, Verdict aVerdict);

/// The verdict attached to an error; MayHaveRun where none is attached, since
/// an unknown effect must be treated as possible. Ran for an OK status.
Verdict VerdictOf(const absl::Status& aStatus);

} // namespace foxtailbarrow
