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

/// `aFaults` changed by a JSON object with any of the members outage, delayMs,
/// loseReplies, writesPerSecond and readsPerSecond. InvalidArgument for any
/// other member, a wrong type or a negative number.
absl::StatusOr<StoreFaults> ChangeFaults(StoreFaults aFaults,
                                         const Json::Value& aChange);

Json::Value EncodeFaults(const StoreFaults& aFaults);

/// Calls by kind, their sum, and the requests that could not be read.
Json::Value EncodeCounters(const StoreCallCounts& aCounts,
                           std::uint64_t aMalformed);

} // namespace foxtailbarrow
