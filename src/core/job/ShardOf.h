#pragma once

#include <string_view>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Messages.h"

/// Maps jobs to shards. All jobs of a customer are in one shard, so that one
/// process can enforce the limits of its contract exactly; the customer is
/// therefore part of the job id.
namespace foxtailbarrow {

/// Id of a new job: "<customer>.<unique>". `aUnique` must not contain '.'.
JobId JobIdFor(const CustomerId& aCustomer, std::string_view aUnique);

/// The customer part of an id made by JobIdFor(); the whole text of others.
std::string_view CustomerPart(const JobId& aJob);

/// Shard of a job, 0..aShardCount-1. Stable across builds and machines
/// (XXH3 of the customer part). `aShardCount` > 0.
ShardId ShardOf(const JobId& aJob, ShardId aShardCount);

} // namespace foxtailbarrow
