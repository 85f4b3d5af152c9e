#include "foxtailbarrow/Messages.h"

#include "src/core/base/EnumText.h"

namespace foxtailbarrow {

namespace {

constexpr EnumText<ServingState, 3> kServingStates({
  { ServingState::Starting, "starting" },
  { ServingState::Serving, "serving" },
  { ServingState::Draining, "draining" },
});

constexpr EnumText<TaskAction, 3> kActions({
  { TaskAction::Stop, "stop" },
  { TaskAction::Evict, "evict" },
  { TaskAction::Throttle, "throttle" },
});

} // namespace

std::string_view ToString(ServingState aState)
{
  return kServingStates.Text(aState);
}

std::optional<ServingState> ParseServingState(std::string_view aText)
{
  return kServingStates.Parse(aText);
}

std::string_view ToString(TaskAction aAction)
{
  return kActions.Text(aAction);
}

std::optional<TaskAction> ParseTaskAction(std::string_view aText)
{
  return kActions.Parse(aText);
}

} // namespace foxtailbarrow
