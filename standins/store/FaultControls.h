#pragma once

#include <cstdint>
#include <string_view>

#include <json/value.h>

#include "absl/status/statusor.h"

#include "src/platform/store/StoreCallCounts.h"
#include "src/platform/store/StoreFaults.h"

namespace foxtailbarrow {

inline constexpr std::string_view kFaultsTarget = "/standin/faults";
inline constexpr std::string_view kCountersTarget = "/standin/counters";

/// Returns `aFaults` updated with a JSON object that has any of the members
/// outage, delayMs, loseReplies, writesPerSecond and readsPerSecond.
/// InvalidArgument for any other member, a wrong type or a negative number.
absl::StatusOr<StoreFaults> ChangeFaults(StoreFaults aFaults,
                                         const Json::Value& aChange);

Json::Value EncodeFaults(const StoreFaults& aFaults);

/// Number of calls by kind, their total, and the number of malformed requests.
Json::Value EncodeCounters(const StoreCallCounts& aCounts,
                           std::uint64_t aMalformed);

} // namespace foxtailbarrow
