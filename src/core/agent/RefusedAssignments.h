#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Worker.h"

namespace foxtailbarrow {

/// Remembers the assignments that this agent refused, or ended before they
/// came, so that NotRun stays true when a copy arrives late.
///
/// Memory is bounded in size and time. Where an entry is dropped, Floor()
/// rises to the newest heartbeat sent when the entry was made: assignments
/// that count on a heartbeat up to that one must be refused unseen.
/// Not safe for use by several threads.
class RefusedAssignments
{
public:
  RefusedAssignments(std::size_t aMaxEntries, Duration aRetention);

  /// `aSequence`: of the agent's newest heartbeat.
  void Remember(const TaskKey& aKey,
                Reason aReason,
                std::uint64_t aSequence,
                Instant aNow);

  /// Why this key was refused; StaleEpoch for an epoch lower than a refused
  /// one of the same job; nullopt for one that may be granted.
  std::optional<Reason> Find(const TaskKey& aKey) const;

  std::uint64_t Floor() const { return mFloor; }
  std::size_t Size() const { return mQueue.size(); }

private:
  struct Refusal
  {
    Epoch mEpoch = 0;
    Reason mReason = Reason::None;
  };

  struct Queued
  {
    TaskKey mKey;
    std::uint64_t mSequence = 0;
    Instant mAt{};
  };

  void DropOldest();

  const std::size_t mMaxEntries;
  const Duration mRetention;
  absl::flat_hash_map<JobId, Refusal> mHighest; ///< Of each job.
  std::deque<Queued> mQueue;
  std::uint64_t mFloor = 0;
};

} // namespace foxtailbarrow
