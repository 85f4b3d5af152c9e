#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Job.h"

namespace foxtailbarrow::entry {

/// Reads the body of a submission: the JSON of a JobSpec without its id, which
/// becomes "<customer>.<aUnique>". InvalidArgument lists every problem.
absl::StatusOr<JobSpec> ParseSubmission(std::string_view aBody,
                                        std::string_view aUnique);

/// The unique part of a job's id: of the caller's idempotency key, so that a
/// repeated submission finds the first one, else of `aRandom`.
std::string UniquePart(std::string_view aIdempotencyKey, std::uint64_t aRandom);

} // namespace foxtailbarrow::entry
