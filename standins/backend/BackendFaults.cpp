#include "standins/backend/BackendFaults.h"

namespace foxtailbarrow::standin {

absl::StatusOr<BackendFaults> BackendFaultsFromJson(const Json::Value& aValue)
{
  if (!aValue.isObject() || !aValue.get("slowUs", 0).isUInt() ||
      !aValue.get("failEvery", 0).isUInt() ||
      !aValue.get("cutEvery", 0).isUInt() ||
      !aValue.get("draining", false).isBool()) {
    return absl::InvalidArgumentError(
      R"(expected {"slowUs":n,"failEvery":n,"cutEvery":n,"draining":bool})");
  }
  BackendFaults faults;
  faults.mSlow = Duration(aValue.get("slowUs", 0).asUInt());
  faults.mFailEvery = aValue.get("failEvery", 0).asUInt();
  faults.mCutEvery = aValue.get("cutEvery", 0).asUInt();
  faults.mDraining = aValue.get("draining", false).asBool();
  return faults;
}

} // namespace foxtailbarrow::standin
