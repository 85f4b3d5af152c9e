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
  Lapsed,  ///< Its lease expired.
};

/// An event of a task. Never discarded, so that tests can read all of them.
struct TaskEvent
{
  TaskEventKind mKind = TaskEventKind::Started;
  TaskKey mKey;
  /// Monotonic time, comparable between the processes of a machine.
  Instant mAt{};
  Duration mDone{}; ///< Total work by then, with earlier runs of the job.
};

std::string_view ToString(TaskEventKind aKind);

} // namespace foxtailbarrow::standin
