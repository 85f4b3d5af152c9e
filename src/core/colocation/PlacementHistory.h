#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Worker.h"

namespace foxtailbarrow {

/// A task beside the service, as far as colocation is concerned.
struct ColocatedTask
{
  TaskKey mKey;
  /// Tasks of one class are expected to hurt alike: customer and program.
  std::string mClass;
  bool mEvictable = true; ///< Batch; others are throttled at most.
  double mEvictionWeight = 1.0;
  double mReserved = 0.0; ///< Part of the worker's processors.
  double mFraction = 1.0; ///< Of its processors, as throttled.
  double mUsed = -1.0;    ///< Part of the worker's processors; < 0 = unknown.

  /// ProcessorShare on the service: what it used, else what it could.
  double ProcessorShare() const
  {
    return mUsed >= 0.0 ? mUsed : mReserved * mFraction;
  }
};

/// Which tasks ran, and throttled how far, from `mFrom` until the next entry.
struct Placement
{
  Instant mFrom{};
  std::vector<ColocatedTask> mTasks;
};

/// Remembers placements for a while, so that measurements that arrive late are
/// attributed to what ran when they were taken.
class PlacementHistory
{
public:
  explicit PlacementHistory(Duration aKeptFor);

  /// The tasks from `aNow` on. Nothing is stored when nothing changed.
  void Set(std::vector<ColocatedTask> aTasks, Instant aNow);

  /// Notes the task's usage measured at `aTakenAt`. Returns the fraction of its
  /// processors that it had then; nullopt when it is not known.
  std::optional<double> AttributeUsage(const TaskKey& aKey,
                                       double aUsed,
                                       Instant aTakenAt);

  /// The placement in force over the whole span; nullptr when it changed within
  /// it or is no longer known.
  const Placement* Over(Instant aBegin, Instant aEnd) const;

  /// The newest; nullptr before the first.
  const Placement* Newest() const;

private:
  const Duration mKeptFor;
  std::deque<Placement> mPlacements;
};

} // namespace foxtailbarrow
