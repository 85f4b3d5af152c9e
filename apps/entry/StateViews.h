#pragma once

#include <json/value.h>

#include "apps/entry/ContractTable.h"
#include "src/core/admission/ShareAllocation.h"
#include "src/core/job/JobScheduler.h"
#include "src/core/membership/AgentDirectory.h"
#include "src/core/ownership/ShardOwnership.h"

/// Sections of an entry's state dump.
namespace foxtailbarrow::entry {

/// Every known agent with its load and, if it gets no work, the reason.
Json::Value AgentsView(const AgentDirectory& aDirectory,
                       const JobScheduler& aScheduler,
                       Instant aNow);

/// Counts by state, and the waiting jobs with their latest reasons.
Json::Value JobsView(const JobScheduler& aScheduler);

/// Live entries and owned shards.
Json::Value OwnershipView(const ShardOwnership& aOwnership, Instant aNow);

/// The contracts in force, and how much of each limit this entry may use now.
Json::Value ContractsView(const ContractTable& aTable,
                          const ShareAllocation& aShares,
                          Revision aAsOf,
                          Instant aNow);

} // namespace foxtailbarrow::entry
