#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "foxtailbarrow/Id.h"

namespace foxtailbarrow::cell {

using WorkerId = Id<struct WorkerIdTag>;

/// Identifies one process of a worker. A restarted worker runs nothing and
/// numbers its ends and heartbeats anew, but may keep its id: then only the
/// time of its start tells it from the process before.
///
/// Times of start are compared for equality alone, since the clock of the
/// worker's machine may step back between two starts.
struct WorkerIncarnation
{
  WorkerIncarnation() = default;
  explicit WorkerIncarnation(std::string aId,
                             std::optional<std::int64_t> aStartedUnixMs = {})
    : mId(std::move(aId))
    , mStartedUnixMs(aStartedUnixMs)
  {
  }

  WorkerId mId;
  /// Unix time in ms; empty where the worker or a peer does not state it.
  std::optional<std::int64_t> mStartedUnixMs;

  bool Empty() const { return mId.Empty(); }

  /// False when the two are certainly different processes.
  bool MayBeSame(const WorkerIncarnation& aOther) const
  {
    return mId == aOther.mId && (!mStartedUnixMs || !aOther.mStartedUnixMs ||
                                 mStartedUnixMs == aOther.mStartedUnixMs);
  }

  // NOLINTNEXTLINE(modernize-use-nullptr): as in Id.
  auto operator<=>(const WorkerIncarnation&) const = default;
};

/// For logs: the id, and `@` and the time of start if it is known.
inline std::string ToString(const WorkerIncarnation& aIncarnation)
{
  return aIncarnation.mStartedUnixMs
           ? aIncarnation.mId.Value() + "@" +
               std::to_string(*aIncarnation.mStartedUnixMs)
           : aIncarnation.mId.Value();
}

} // namespace foxtailbarrow::cell
