#include "src/core/cell/TaskRef.h"

#include <charconv>

#include "absl/strings/str_cat.h"

namespace foxtailbarrow::cell {

namespace {

/// Removes ".number" from the end of the text.
bool TakeNumber(std::string_view& aText, std::int32_t& aNumber)
{
  const std::size_t dot = aText.rfind('.');
  if (dot == std::string_view::npos) {
    return false;
  }
  const std::string_view digits = aText.substr(dot + 1);
  const char* end = digits.data() + digits.size();
  const auto [read, error] = std::from_chars(digits.data(), end, aNumber);
  aText = aText.substr(0, dot);
  return error == std::errc() && read == end && !digits.empty() && aNumber >= 0;
}

} // namespace

std::string ToString(const TaskRef& aTask)
{
  return absl::StrCat(aTask.mJob.Value(),
                      ".",
                      aTask.mOccurrence,
                      ".",
                      aTask.mStep,
                      ".",
                      aTask.mIndex);
}

std::optional<TaskRef> ParseTaskRef(std::string_view aText)
{
  TaskRef task;
  if (!TakeNumber(aText, task.mIndex) || !TakeNumber(aText, task.mStep) ||
      !TakeNumber(aText, task.mOccurrence) || aText.empty()) {
    return std::nullopt;
  }
  task.mJob = JobId(std::string(aText));
  return task;
}

} // namespace foxtailbarrow::cell
