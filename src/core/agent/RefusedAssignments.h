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

/// Records the assignments that this agent refused, or stopped before they
/// arrived, so that NotRun stays true when a copy arrives late.
///
/// Bounded in size and time. When a refusal is dropped, Floor() rises to the
/// newest heartbeat that had been sent when it was recorded: assignments that
/// refer to a heartbeat up to that one must be refused without a lookup.
/// Not thread-safe.
class RefusedAssignments
{
public:
  RefusedAssignments(std::size_t aMaxEntries, Duration aRetention);

  /// `aSequence` is that of the agent's newest heartbeat.
  void Remember(const TaskKey& aKey,
                Reason aReason,
                std::uint64_t aSequence,
                Instant aNow);

  /// Why the key was refused; StaleEpoch when a higher epoch of the job was
  /// refused; nullopt when the key may be granted.
  std::optional<Reason> Find(const TaskKey& aKey) const;

  /// Newest heartbeat sequence for which a refusal may have been dropped.
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
  absl::flat_hash_map<JobId, Refusal> mHighest; ///< Highest epoch by job.
  std::deque<Queued> mQueue;
  std::uint64_t mFloor = 0;
};

} // namespace foxtailbarrow
