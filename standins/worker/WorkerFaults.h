#pragma once

#include <cstdint>

#include "absl/status/statusor.h"
#include <json/value.h>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::standin {

/// Faults that a test switches on by `POST /standin/faults`.
struct WorkerFaults
{
  bool mFailAll = false;         ///< Every task fails as it starts.
  Duration mDelay{};             ///< Of every reply.
  std::int64_t mLoseReplies = 0; ///< Next calls that take effect unanswered.
};

/// `{"failAll":bool,"delayMs":n,"loseReplies":n}`; what is left out is off.
absl::StatusOr<WorkerFaults> WorkerFaultsFromJson(const Json::Value& aValue);

} // namespace foxtailbarrow::standin
