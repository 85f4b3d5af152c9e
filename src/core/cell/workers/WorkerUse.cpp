#include "src/core/cell/workers/WorkerUse.h"

namespace foxtailbarrow::cell {

std::set<std::string_view> ServingImages(const WorkerUse& aUse)
{
  std::set<std::string_view> images;
  for (const auto& [job, serving] : aUse.mServing) {
    images.insert(serving.mImage);
  }
  return images;
}

} // namespace foxtailbarrow::cell
