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
  std::int64_t mBestEffort = 0; ///< Millicores that best-effort tasks demand.
  std::map<JobId, ServingUse> mServing; ///< By standing job.
  /// Millicores that best-effort tasks demand, by image.
  std::map<std::string, std::int64_t> mBestEffortByImage;
  /// The part of that whose tasks were stalled at the last poll.
  std::map<std::string, std::int64_t> mStalledByImage;
  /// Millicores that best-effort tasks used, as measured at the last poll.
  std::int64_t mBestEffortUsed = 0;
};

/// Images of the serving tasks.
std::set<std::string_view> ServingImages(const WorkerUse& aUse);

} // namespace foxtailbarrow::cell
