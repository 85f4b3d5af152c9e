#pragma once

#include <cstdint>

#include "src/core/cell/WorkerState.h"

namespace foxtailbarrow::cell {

/// What to do with a worker's heartbeat.
enum class HeartbeatDecision : std::uint8_t
{
  Accept,
  Ignore,  ///< Overtaken by a newer one, or of a worker that has left.
  Foreign, ///< Not the worker's: its number is far beyond the last one.
  Confirm, ///< Of another incarnation: only the worker can tell whether it is
           ///< a newer one or a late heartbeat of one that has crashed.
};

/// Puts the heartbeats at one agent in order: of one incarnation by their
/// sequence numbers, of several by asking the worker. Pure.
class HeartbeatOrder
{
public:
  HeartbeatDecision Classify(const WorkerIncarnation& aIncarnation,
                             std::int64_t aSequence) const;

  /// The heartbeat was taken.
  void OnAccepted(const WorkerIncarnation& aIncarnation,
                  std::int64_t aSequence);

  /// The worker says that it leaves. False when it is not the current one.
  bool OnWorkerLeft(const WorkerIncarnation& aIncarnation);

  const WorkerIncarnation& Current() const { return mCurrent; }

private:
  WorkerIncarnation mCurrent;
  std::int64_t mSequence = 0;
  bool mGone = false;
};

} // namespace foxtailbarrow::cell
