#pragma once

#include <cstdint>

#include "absl/status/statusor.h"
#include <json/value.h>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::standin {

/// Faults that a test enables with `POST /standin/faults`.
struct WorkerFaults
{
  bool mFailAll = false;         ///< Every task fails when it starts.
  Duration mDelay{};             ///< Added to every reply.
  std::int64_t mLoseReplies = 0; ///< Next calls with effect but no reply.
};

/// Parses `{"failAll":bool,"delayMs":n,"loseReplies":n}`. Faults of missing
/// members are off.
absl::StatusOr<WorkerFaults> WorkerFaultsFromJson(const Json::Value& aValue);

} // namespace foxtailbarrow::standin
