#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/colocation/ColocationAction.h"
#include "src/core/colocation/ColocationGuard.h"
#include "src/core/colocation/LatencyRecorder.h"
#include "src/core/colocation/PlacementHistory.h"

namespace foxtailbarrow {

/// Baseline: no batch work colocated with a service.
struct NoColocation
{};

/// Baseline: batch work as capacity allows, ignoring service latency.
struct BlindColocation
{};

/// Baseline: throttles every task to half, then evicts the largest, while the
/// service's p95 is above a fixed latency.
struct StaticThreshold
{
  Duration mLatency = std::chrono::milliseconds(50);
  int mBadWindows = 3;
  int mBadInRow = 0;
  bool mThrottled = false;
  std::vector<ColocatedTask> mTasks;
  std::vector<ColocationAction> mPending;
};

/// The policies, with common functions.
using ColocationPolicy =
  std::variant<NoColocation, BlindColocation, StaticThreshold, ColocationGuard>;

/// Whether the policy allows batch tasks at all.
bool AdmitsTasks(const ColocationPolicy& aPolicy);

void SetTasks(ColocationPolicy& aPolicy,
              std::vector<ColocatedTask> aTasks,
              Instant aNow);

void OnUsage(ColocationPolicy& aPolicy,
             const TaskKey& aKey,
             double aUsed,
             Instant aTakenAt);

void OnLatencies(ColocationPolicy& aPolicy, const LatencyWindow& aWindow);

/// Returns the actions due now.
std::vector<ColocationAction> Advance(ColocationPolicy& aPolicy, Instant aNow);

} // namespace foxtailbarrow
