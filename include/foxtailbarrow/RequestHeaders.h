#pragma once

#include <string_view>

/// HTTP headers with which a caller's request and its answer travel. Names
/// compare without regard to case.
namespace foxtailbarrow {

// Of requests.
inline constexpr std::string_view kCustomerHeader = "Foxtailbarrow-Customer";
/// Names one attempt; made by the entry when missing. Echoed in the answer.
inline constexpr std::string_view kRequestIdHeader = "Foxtailbarrow-Request-Id";
/// Milliseconds that remain for the answer.
inline constexpr std::string_view kDeadlineHeader = "Foxtailbarrow-Deadline-Ms";
/// "true": running it again does no harm.
inline constexpr std::string_view kIdempotentHeader =
  "Foxtailbarrow-Idempotent";
/// Names one operation, the same in each of its attempts.
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

// Of answers. The verdict's is net::kVerdictHeader.
inline constexpr std::string_view kReasonHeader = "Foxtailbarrow-Reason";
inline constexpr std::string_view kRetryAfterHeader = "Retry-After";
/// Agent to entry: "slotsInUse/slots/waiting".
inline constexpr std::string_view kLoadHeader = "Foxtailbarrow-Load";

} // namespace foxtailbarrow
