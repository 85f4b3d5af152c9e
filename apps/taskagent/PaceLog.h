#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>

#include "absl/status/status.h"

#include "foxtailbarrow/Time.h"
#include "src/core/cell/OverTarget.h"
#include "src/core/cell/PaceGovernor.h"
#include "src/core/cell/TaskWorker.h"

namespace foxtailbarrow::taskagent {

/// Log lines and counters of how an agent protects the serving tasks on its
/// worker.
class PaceLog
{
public:
  /// A look is judged at `aNow`.
  void NoteLook(Instant aNow);
  void NotePace(const cell::PaceChange& aChange,
                cell::Fence aFence,
                const absl::Status& aOutcome);
  /// What is over its target after a look; told once a second.
  void NoteOver(std::span<const cell::OverTarget> aOver, Instant aNow);
  /// Running tasks of which the agent does not know what they are.
  void NoteUnknown(std::size_t aTasks, Instant aNow);

  std::int64_t LateLooks() const { return mLateLooks; }
  std::int64_t UnansweredPaces() const { return mUnanswered; }
  std::int64_t UnknownTasks() const { return mUnknown; }
  Duration LongestOver() const { return mLongestOver; }

private:
  Instant mLookedAt{};
  std::map<std::string, Instant> mToldOver; ///< By image.
  Instant mToldUnknown{};
  std::int64_t mLateLooks = 0;
  std::int64_t mUnanswered = 0;
  std::int64_t mUnknown = 0;
  Duration mLongestOver{};
};

} // namespace foxtailbarrow::taskagent
