#pragma once

#include <cstdint>

#include "absl/status/statusor.h"
#include <json/value.h>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::standin {

/// Faults that a test switches on by `POST /standin/faults`.
struct BackendFaults
{
  Duration mSlow{};             ///< Added to every service time.
  std::uint32_t mFailEvery = 0; ///< Every n-th request is answered 500.
  std::uint32_t mCutEvery = 0;  ///< Every n-th runs and is left unanswered.
  bool mDraining = false;       ///< /healthz answers 503.
};

/// `{"slowUs":n,"failEvery":n,"cutEvery":n,"draining":bool}`; what is left out
/// is off.
absl::StatusOr<BackendFaults> BackendFaultsFromJson(const Json::Value& aValue);

} // namespace foxtailbarrow::standin
