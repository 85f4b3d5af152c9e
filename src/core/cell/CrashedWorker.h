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
  /// How long it is known to have run before: until the worker's last answer.
  Duration mUptime{};
  /// The worker had said that it runs; else its start got no answer.
  bool mConfirmed = true;

  bool operator==(const CrashedRun&) const = default;
};

/// The runs that one crash of a worker took along, as far as they may have
/// caused it: all that had not lived for kProvenUptime.
struct CrashedWorker
{
  std::vector<CrashedRun> mRuns;

  bool operator==(const CrashedWorker&) const = default;
};

/// Tasks that take their worker down do it as they start. Above the time after
/// which an agent sees its worker alive again.
inline constexpr Duration kFreshUptime = std::chrono::milliseconds(500);

/// A run that has lived for so long is not what takes its worker down.
inline constexpr Duration kProvenUptime = std::chrono::seconds(1);

} // namespace foxtailbarrow::cell
