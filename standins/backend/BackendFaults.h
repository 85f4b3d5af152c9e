#pragma once

#include <cstdint>

#include "absl/status/statusor.h"
#include <json/value.h>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::standin {

/// Faults that a test enables with `POST /standin/faults`.
struct BackendFaults
{
  Duration mSlow{};             ///< Added to every service time.
  std::uint32_t mFailEvery = 0; ///< Every n-th request gets a 500 response.
  std::uint32_t mCutEvery =
    0;                    ///< Every n-th request runs but gets no response.
  bool mDraining = false; ///< /healthz responds with 503.
};

/// Parses `{"slowUs":n,"failEvery":n,"cutEvery":n,"draining":bool}`. Faults of
/// missing members are off.
absl::StatusOr<BackendFaults> BackendFaultsFromJson(const Json::Value& aValue);

} // namespace foxtailbarrow::standin
