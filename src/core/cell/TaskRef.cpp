#include "src/core/cell/TaskRef.h"

#include "absl/strings/str_cat.h"

namespace foxtailbarrow::cell {

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

} // namespace foxtailbarrow::cell
