#include "standins/worker/WorkerFaults.h"

namespace foxtailbarrow::standin {

absl::StatusOr<WorkerFaults> WorkerFaultsFromJson(const Json::Value& aValue)
{
  if (!aValue.isObject() || !aValue.get("failAll", false).isBool() ||
      !aValue.get("delayMs", 0).isUInt() ||
      !aValue.get("loseReplies", 0).isUInt()) {
    return absl::InvalidArgumentError(
      R"(expected {"failAll":bool,"delayMs":n,"loseReplies":n})");
  }
  WorkerFaults faults;
  faults.mFailAll = aValue.get("failAll", false).asBool();
  faults.mDelay = std::chrono::milliseconds(aValue.get("delayMs", 0).asUInt());
  faults.mLoseReplies = aValue.get("loseReplies", 0).asUInt();
  return faults;
}

} // namespace foxtailbarrow::standin
