#pragma once

#include <json/value.h>

#include "apps/entry/ContractTable.h"
#include "src/core/admission/ShareAllocation.h"
#include "src/core/job/JobScheduler.h"
#include "src/core/membership/AgentDirectory.h"
#include "src/core/ownership/ShardOwnership.h"

/// Parts of the state dump of an entry.
namespace foxtailbarrow::entry {

/// Every known agent, its load and why it gets no work.
Json::Value AgentsView(const AgentDirectory& aDirectory,
                       const JobScheduler& aScheduler,
                       Instant aNow);

/// Counts by state, and every job that waits with its latest reason.
Json::Value JobsView(const JobScheduler& aScheduler);

/// Live entries and the shards held.
Json::Value OwnershipView(const ShardOwnership& aOwnership, Instant aNow);

/// The contracts in force, and how much of each limit this entry may use now.
Json::Value ContractsView(const ContractTable& aTable,
                          const ShareAllocation& aShares,
                          Revision aAsOf,
                          Instant aNow);

} // namespace foxtailbarrow::entry
