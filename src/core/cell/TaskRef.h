#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "foxtailbarrow/Id.h"

namespace foxtailbarrow::cell {

/// Numbers the starts of a task; every start has a higher one than all before.
using RunNumber = std::int64_t;

/// Runs that an owner of this generation starts have this number or a higher
/// one, and so are above those of all earlier owners.
constexpr RunNumber FirstRunOf(std::int64_t aGeneration)
{
  constexpr int kRunBits = 20;
  return aGeneration << kRunBits;
}

/// Names one task of a job.
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

/// Names one run of a task.
struct RunRef
{
  TaskRef mTask;
  RunNumber mRun = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): a false positive of clang-tidy 14.
  auto operator<=>(const RunRef&) const = default;
};

/// "job.occurrence.step.index", in messages and logs.
std::string ToString(const TaskRef& aTask);

/// Reverse of ToString(); nullopt for any other text. The job's identifier may
/// hold dots itself.
std::optional<TaskRef> ParseTaskRef(std::string_view aText);

/// The same for messages; false leaves the task as it was.
inline bool ParseText(std::string_view aText, TaskRef& aTask)
{
  if (auto task = ParseTaskRef(aText)) {
    aTask = *std::move(task);
    return true;
  }
  return false;
}

} // namespace foxtailbarrow::cell
