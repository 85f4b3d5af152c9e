#pragma once

#include <cstdint>
#include <string_view>

#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Worker.h"

namespace foxtailbarrow::standin {

enum class TaskEventKind : std::uint8_t
{
  Started,
  Finished,
  Failed,
  Checkpointed,
  Stopped, ///< On request.
  Lapsed,  ///< Its lease ran out.
};

/// Something that happened to a task. Kept for ever, for tests.
struct TaskEvent
{
  TaskEventKind mKind = TaskEventKind::Started;
  TaskKey mKey;
  /// Monotonic time. One clock for all processes of a machine.
  Instant mAt{};
  Duration mDone{}; ///< Work done by then, earlier runs of the job included.
};

std::string_view ToString(TaskEventKind aKind);

} // namespace foxtailbarrow::standin
