#pragma once

#include <string_view>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Messages.h"

/// Decides which shard of the job space a job belongs to. All jobs of a
/// customer share one shard, so that one process counts its contract's limits
/// exactly; the customer is therefore part of the job's id.
namespace foxtailbarrow {

/// Id of a new job: "<customer>.<unique>". `aUnique` must hold no '.'.
JobId JobIdFor(const CustomerId& aCustomer, std::string_view aUnique);

/// The customer part of an id made by JobIdFor(); the whole text of any other.
std::string_view CustomerPart(const JobId& aJob);

/// Shard of a job, 0..aShardCount-1. Stable across builds and machines
/// (XXH3 of the customer part). `aShardCount` > 0.
ShardId ShardOf(const JobId& aJob, ShardId aShardCount);

} // namespace foxtailbarrow
