#pragma once

#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/TaskRef.h"

namespace foxtailbarrow::cell {

/// A run that was lost when its worker crashed.
struct CrashedRun
{
  TaskRef mTask;
  RunNumber mRun = 0;
  /// How long it is known to have run, up to the worker's last answer.
  Duration mUptime{};
  /// The worker confirmed that it runs; else its start got no answer.
  bool mConfirmed = true;

  bool operator==(const CrashedRun&) const = default;
};

/// The runs lost in one worker crash that may have caused it: all below
/// kProvenUptime.
struct CrashedWorker
{
  std::vector<CrashedRun> mRuns;

  bool operator==(const CrashedWorker&) const = default;
};

/// Below this uptime a run is a likely cause of a crash, since tasks that crash
/// their worker do so as they start. Longer than an agent takes to observe that
/// its worker is alive again.
inline constexpr Duration kFreshUptime = std::chrono::milliseconds(500);

/// From this uptime on a run is not the cause of a crash.
inline constexpr Duration kProvenUptime = std::chrono::seconds(1);

} // namespace foxtailbarrow::cell
