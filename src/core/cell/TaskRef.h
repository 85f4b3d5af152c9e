#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "foxtailbarrow/Id.h"

namespace foxtailbarrow::cell {

/// Number of a start of a task, higher than those of all earlier starts.
using RunNumber = std::int64_t;

/// Lower bound of the run numbers of an owner of this generation, above those
/// of all earlier owners.
constexpr RunNumber FirstRunOf(std::int64_t aGeneration)
{
  constexpr int kRunBits = 20;
  return aGeneration << kRunBits;
}

/// Identifies one task of a job.
struct TaskRef
{
  JobId mJob;
  std::int32_t mOccurrence = 0;
  std::int32_t mStep = 0;
  std::int32_t mIndex = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): a false positive of clang-tidy 14.
  auto operator<=>(const TaskRef&) const = default;

  template<typename H>
  friend H AbslHashValue(H aState, const TaskRef& aTask)
  {
    return H::combine(std::move(aState),
                      aTask.mJob,
                      aTask.mOccurrence,
                      aTask.mStep,
                      aTask.mIndex);
  }
};

/// Identifies one run of a task.
struct RunRef
{
  TaskRef mTask;
  RunNumber mRun = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): a false positive of clang-tidy 14.
  auto operator<=>(const RunRef&) const = default;
};

/// "job.occurrence.step.index", in messages and logs.
std::string ToString(const TaskRef& aTask);

/// Inverse of ToString(); nullopt for any other text. The job's identifier may
/// contain dots itself.
std::optional<TaskRef> ParseTaskRef(std::string_view aText);

/// The same for messages. Returns false and leaves the task unchanged for any
/// other text.
inline bool ParseText(std::string_view aText, TaskRef& aTask)
{
  if (auto task = ParseTaskRef(aText)) {
    aTask = *std::move(task);
    return true;
  }
  return false;
}

} // namespace foxtailbarrow::cell
