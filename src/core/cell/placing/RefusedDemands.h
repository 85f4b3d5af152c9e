#pragma once

#include <map>
#include <string>
#include <utility>

#include "src/core/cell/JobEntry.h"

namespace foxtailbarrow::cell {

/// Demands of best-effort tasks that no worker accepts in the current placement
/// round. Workers only get fuller within a round, so equal or larger demands
/// are not tried again. Pure.
class RefusedDemands
{
public:
  /// True for tasks that differ only in service, image and demand; no others
  /// are compared.
  static bool Covers(const JobEntry& aJob, const StepSpec& aSpec)
  {
    return aSpec.mBestEffort && !aSpec.mGang && aSpec.mRequiredLabel.empty() &&
           aSpec.mMaxPerWorker == 0 && !aJob.mPolicy.mAdvice;
  }

  bool Refuses(const JobEntry& aJob, const StepSpec& aSpec) const
  {
    const auto found = mRefused.find(KeyOf(aJob, aSpec));
    return found != mRefused.end() && found->second.FitsIn(aSpec.mDemand);
  }

  void RecordRefusal(const JobEntry& aJob, const StepSpec& aSpec)
  {
    mRefused.insert_or_assign(KeyOf(aJob, aSpec), aSpec.mDemand);
  }

  void Clear() { mRefused.clear(); }

private:
  using Key = std::pair<std::string, std::string>;

  static Key KeyOf(const JobEntry& aJob, const StepSpec& aSpec)
  {
    return { aJob.mPolicy.mService.Value(), aSpec.mImage };
  }

  std::map<Key, Resources> mRefused; ///< Demand by service and image.
};

} // namespace foxtailbarrow::cell
