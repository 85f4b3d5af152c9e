#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "src/core/cell/WorkerState.h"

namespace foxtailbarrow::cell {

/// What changed at a worker since a state that both sides know. An agent tells
/// changes, since most of its reports come because one task ended, and an owner
/// of many workers would spend its time on reading what it knows.
struct WorkerChange
{
  std::optional<WorkerInfo> mInfo;   ///< Nothing: as before.
  std::vector<RunningTask> mRunning; ///< New, or with another value.
  std::vector<RunRef> mGone;         ///< Running before, and no longer.
  std::vector<EndedTask> mEnded;     ///< Not told before.
  bool mFigures = false; ///< Progress, checkpoints and figures are told too.

  bool operator==(const WorkerChange&) const = default;
};

/// Which changes of a running task are told.
enum class TaskDetail : std::uint8_t
{
  Presence, ///< Only that it runs or no longer does.
  Figures,  ///< Also its progress, checkpoint and figure.
};

/// The change that leads from `aBefore` to `aNow`. Ends are those with a higher
/// number than all of `aBefore`; the incarnation must be the same.
WorkerChange ChangeBetween(const WorkerState& aBefore,
                           const WorkerState& aNow,
                           TaskDetail aDetail);

/// Carries the change out; the state keeps the ends that were told last. Both
/// sides do it, so that what the reader holds is what the writer builds the
/// next change on.
void Apply(const WorkerChange& aChange, WorkerState& aState);

} // namespace foxtailbarrow::cell
