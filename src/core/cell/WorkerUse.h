#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Resources.h"

namespace foxtailbarrow::cell {

/// The serving tasks of one standing job on a worker.
struct ServingUse
{
  std::string mImage;
  std::int32_t mTasks = 0;
};

/// What runs on a worker, by kind of use.
struct WorkerUse
{
  Resources mReserved;          ///< Counted against the capacity.
  std::int64_t mStanding = 0;   ///< Millicores of standing tasks.
  std::int64_t mBestEffort = 0; ///< Millicores that leftover tasks want.
  std::map<JobId, ServingUse> mServing; ///< By standing job.
  /// Millicores that leftover tasks want, by image.
  std::map<std::string, std::int64_t> mBestEffortByImage;
  /// The part of it whose tasks were stalled at the last look.
  std::map<std::string, std::int64_t> mStalledByImage;
  std::int64_t mBestEffortUsed = 0; ///< Millicores, by the last look's figures.
};

/// Images of the serving tasks.
std::set<std::string_view> ServingImages(const WorkerUse& aUse);

} // namespace foxtailbarrow::cell
