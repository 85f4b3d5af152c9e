#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "src/core/cell/workers/WorkerState.h"

namespace foxtailbarrow::cell {

/// What changed on a worker since a state that both sides know. Agents report
/// changes because most reports are sent for a single ended task, and an owner
/// of many workers would spend its time reading full states that it knows.
struct WorkerChange
{
  std::optional<WorkerInfo> mInfo;   ///< Empty = unchanged.
  std::vector<RunningTask> mRunning; ///< New or changed.
  std::vector<RunRef> mRemoved;      ///< No longer running.
  std::vector<EndedTask> mEnded;     ///< Not reported before.
  bool mFigures = false; ///< Progress, checkpoints and figures are included.

  bool operator==(const WorkerChange&) const = default;
};

/// Which changes of a running task are reported.
enum class TaskDetail : std::uint8_t
{
  Presence, ///< Only whether it runs.
  Figures,  ///< Also its progress, checkpoint and figure.
};

/// Returns the change that leads from `aBefore` to `aNow`, which must be of the
/// same incarnation. It lists the ends with a higher number than all ends of
/// `aBefore`.
WorkerChange ChangeBetween(const WorkerState& aBefore,
                           const WorkerState& aNow,
                           TaskDetail aDetail);

/// Applies the change; the state keeps the ends that were reported last. Both
/// sides call it, so that the writer computes the next change from the state
/// that the reader holds.
void Apply(const WorkerChange& aChange, WorkerState& aState);

} // namespace foxtailbarrow::cell
