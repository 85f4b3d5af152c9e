#include "foxtailbarrow/Worker.h"

#include "src/core/base/EnumText.h"

namespace foxtailbarrow {

namespace {

constexpr EnumText<TaskState, 5> kStates({
  { TaskState::Running, "running" },
  { TaskState::Finished, "finished" },
  { TaskState::Failed, "failed" },
  { TaskState::Checkpointed, "checkpointed" },
  { TaskState::Stopped, "stopped" },
});

} // namespace

std::string_view ToString(TaskState aState)
{
  return kStates.Text(aState);
}

std::optional<TaskState> ParseTaskState(std::string_view aText)
{
  return kStates.Parse(aText);
}

} // namespace foxtailbarrow
