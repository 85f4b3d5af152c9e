#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Worker.h"

namespace foxtailbarrow {

/// A task colocated with the service.
struct ColocatedTask
{
  TaskKey mKey;
  /// Customer and program; tasks of one class are expected to interfere alike.
  std::string mClass;
  bool mEvictable = true; ///< Batch only; others are only throttled.
  double mEvictionWeight = 1.0;
  double mReserved = 0.0; ///< Fraction of the worker's processors.
  double mFraction = 1.0; ///< Of its processors, by throttling.
  double mUsed = -1.0; ///< Fraction of the worker's processors; < 0 = unknown.

  /// Fraction of the worker's processors that it used or, if unknown, may use.
  double ProcessorShare() const
  {
    return mUsed >= 0.0 ? mUsed : mReserved * mFraction;
  }
};

/// The tasks and their throttling from `mFrom` until the next entry.
struct Placement
{
  Instant mFrom{};
  std::vector<ColocatedTask> mTasks;
};

/// Keeps recent placements, to attribute late measurements to the tasks that
/// ran when they were taken.
class PlacementHistory
{
public:
  explicit PlacementHistory(Duration aRetention);

  /// Sets the tasks from `aNow` on. Stores nothing if nothing changed.
  void Set(std::vector<ColocatedTask> aTasks, Instant aNow);

  /// Records the task's usage measured at `aTakenAt`. Returns the fraction of
  /// its processors that it had at that time; nullopt if unknown.
  std::optional<double> AttributeUsage(const TaskKey& aKey,
                                       double aUsed,
                                       Instant aTakenAt);

  /// The placement in force over the whole interval; nullptr if it changed or
  /// is no longer known.
  const Placement* Over(Instant aBegin, Instant aEnd) const;

  /// The newest; nullptr before the first Set().
  const Placement* Newest() const;

private:
  const Duration mRetention;
  std::deque<Placement> mPlacements;
};

} // namespace foxtailbarrow
