#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Job.h"

namespace foxtailbarrow::entry {

/// Parses the body of a submission: the JSON of a JobSpec without an id. The id
/// becomes "<customer>.<aUnique>". An InvalidArgument error lists every
/// problem.
absl::StatusOr<JobSpec> ParseSubmission(std::string_view aBody,
                                        std::string_view aUnique);

/// The unique part of a job's id: derived from the caller's idempotency key, so
/// that a repeated submission gets the same id, or from `aRandom` without a
/// key.
std::string UniquePart(std::string_view aIdempotencyKey, std::uint64_t aRandom);

} // namespace foxtailbarrow::entry
