#pragma once

#include <cstdint>

#include "src/core/cell/workers/WorkerState.h"

namespace foxtailbarrow::cell {

/// What to do with a worker's heartbeat.
enum class HeartbeatDecision : std::uint8_t
{
  Accept,
  Ignore,  ///< Older than the last one, or from a worker that has left.
  Foreign, ///< Not from the worker: its number is far beyond the last one.
  Confirm, ///< From another incarnation: the worker must be asked whether it
           ///< is newer, or a late heartbeat of one that has crashed.
};

/// What to do with a worker's deregistration.
enum class DeregistrationDecision : std::uint8_t
{
  Accept,
  Ignore,  ///< From another incarnation, or repeated.
  Confirm, ///< It does not state when its sender started: the current
           ///< incarnation has left if it does not answer any more.
};

/// Orders the heartbeats that an agent receives: within one incarnation by
/// sequence number, between incarnations by asking the worker. Does no I/O.
class HeartbeatOrder
{
public:
  HeartbeatDecision Classify(const WorkerIncarnation& aIncarnation,
                             std::int64_t aSequence) const;

  void OnAccepted(const WorkerIncarnation& aIncarnation,
                  std::int64_t aSequence);

  DeregistrationDecision ClassifyDeregistration(
    const WorkerIncarnation& aIncarnation) const;

  /// The current incarnation has left.
  void OnWorkerLeft() { mGone = true; }

  const WorkerIncarnation& Current() const { return mCurrent; }

private:
  WorkerIncarnation mCurrent;
  std::int64_t mSequence = 0;
  bool mGone = false;
};

} // namespace foxtailbarrow::cell
