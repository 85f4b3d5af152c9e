#pragma once

#include <string>
#include <string_view>

#include "absl/strings/str_cat.h"

#include "foxtailbarrow/Job.h"
#include "foxtailbarrow/Messages.h"

namespace foxtailbarrow::entry {

inline constexpr std::string_view kJobsPrefix = "/foxtailbarrow/jobs/";

/// Prefix of the records of all jobs of a shard.
inline std::string JobShardPrefix(ShardId aShard)
{
  return absl::StrCat("/foxtailbarrow/jobs/", aShard, "/");
}

/// Key of a job's record.
inline std::string JobKey(ShardId aShard, const JobId& aJob)
{
  return absl::StrCat(JobShardPrefix(aShard), aJob.Value());
}

} // namespace foxtailbarrow::entry
